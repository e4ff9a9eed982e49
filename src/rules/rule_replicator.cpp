#include "rules/rule_replicator.h"

#include "rules/rule_parser.h"

#include <algorithm>

namespace lycheefield {

RuleReplicator::RuleReplicator(RuleReplicatorSettings settings)
    : m_settings(settings)
{
}

void RuleReplicator::onStored(const StoredRules& rules, RuleActions& actions)
{
    m_hasReadStore = true;
    accept(rules.revision, rules.text, actions);
}

void RuleReplicator::onPeerRevision(const InstanceName& peer, RuleRevision revision, TimePoint now, RuleActions& actions)
{
    if (revision <= m_revision || revision <= m_rejectedRevision) {
        m_peers.erase(peer);
        return;
    }
    m_peers[peer] = revision;
    if (!m_requestedPeer)
        request(now, actions);
}

void RuleReplicator::onRequest(const InstanceName& peer, RuleRevision have, RuleActions& actions)
{
    if (have >= m_revision)
        return;
    const auto* base = textOf(have);
    ++m_counts.deltasSent;
    if (base)
        actions.emplace_back(SendRules { peer, makeRuleDelta(have, *base, m_revision, m_text) });
    else
        actions.emplace_back(SendRules { peer, makeRuleDelta(RuleRevision(), "", m_revision, m_text) });
}

void RuleReplicator::onDelta(const InstanceName& peer, const RuleDelta& delta, TimePoint now, RuleActions& actions)
{
    if (m_requestedPeer == peer) {
        m_requestedPeer.reset();
        m_requestDeadline = never;
    }
    if (delta.revision <= m_revision)
        ++m_counts.lowerRefused;
    else
        applyDelta(peer, delta, actions);
    std::erase_if(m_peers, [&](const auto& it) { return it.second <= m_revision || it.second <= m_rejectedRevision; });
    if (!m_requestedPeer && !m_peers.empty())
        request(now, actions);
}

/// A delta that does not apply is followed by a request for the whole text. A peer whose whole text does not
/// apply either is not asked again until its next message.
void RuleReplicator::applyDelta(const InstanceName& peer, const RuleDelta& delta, RuleActions& actions)
{
    const auto* base = textOf(delta.base);
    const auto text = base ? applyRuleDelta(*base, delta) : std::nullopt;
    if (text) {
        m_needsFullText = false;
        accept(delta.revision, *text, actions);
        return;
    }
    ++m_counts.malformed;
    if (m_needsFullText)
        m_peers.erase(peer);
    m_needsFullText = !m_needsFullText;
}

void RuleReplicator::onTimer(TimePoint now, RuleActions& actions)
{
    if (now < m_requestDeadline)
        return;
    m_requestDeadline = never;
    std::erase_if(m_peers, [&](const auto& it) { return it.second <= m_revision; });
    request(now, actions);
}

void RuleReplicator::accept(RuleRevision revision, const std::string& text, RuleActions& actions)
{
    if (revision < m_revision) {
        ++m_counts.lowerRefused;
        return;
    }
    if (revision == m_revision || revision <= m_rejectedRevision)
        return;
    auto parsed = parseRules(text, revision);
    if (!std::holds_alternative<RuleTable>(parsed)) {
        ++m_counts.malformed;
        m_rejectedRevision = revision;
        actions.emplace_back(LogRuleChange { "rule revision " + std::to_string(revision.value()) + " can't be parsed by this version of the program; revision "
            + std::to_string(m_revision.value()) + " stays in force" });
        return;
    }
    if (m_revision.value())
        m_oldTexts.push_back({ m_revision, m_text });
    if (m_oldTexts.size() > m_settings.keptRevisions)
        m_oldTexts.pop_front();
    m_revision = revision;
    m_text = text;
    ++m_counts.accepted;
    actions.emplace_back(PublishRules { std::get<RuleTable>(std::move(parsed)) });
    actions.emplace_back(LogRuleChange { "rule revision " + std::to_string(revision.value()) + " is in force" });
}

/// Sends a request to the peer after the last one asked, so that a silent peer does not block the others.
void RuleReplicator::request(TimePoint now, RuleActions& actions)
{
    const auto peer = nextPeerToAsk();
    m_requestedPeer = peer;
    if (!peer)
        return;
    ++m_counts.requests;
    m_requestDeadline = now + m_settings.requestTimeout;
    actions.emplace_back(RequestRules { *peer, m_needsFullText ? RuleRevision() : m_revision });
}

std::optional<InstanceName> RuleReplicator::nextPeerToAsk() const
{
    if (m_peers.empty())
        return std::nullopt;
    const auto it = m_requestedPeer ? m_peers.upper_bound(*m_requestedPeer) : m_peers.begin();
    return it == m_peers.end() ? m_peers.begin()->first : it->first;
}

/// Returns the text of the current or a recent revision, the empty text for revision 0, or null.
const std::string* RuleReplicator::textOf(RuleRevision revision) const
{
    static const std::string empty;
    if (!revision.value())
        return &empty;
    if (revision == m_revision)
        return &m_text;
    const auto it = std::find_if(m_oldTexts.begin(), m_oldTexts.end(), [&](const auto& old) { return old.revision == revision; });
    return it == m_oldTexts.end() ? nullptr : &it->text;
}

}
