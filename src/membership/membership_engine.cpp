#include "membership/membership_engine.h"

#include <algorithm>
#include <bit>
#include <string_view>

namespace lycheefield {

namespace {

/// News go at once to this many peers; each of them does the same.
constexpr std::size_t announceFanout = 5;
/// Each period of this many, a member that is gone is probed too, so that a healed partition is noticed.
constexpr std::uint64_t lostProbeInterval = 8;
/// A member is a suspect after this many failed probes in a row.
constexpr std::uint32_t probesToSuspect = 2;
/// A timer later than this many periods means that this process stood still.
constexpr int pausePeriods = 2;
/// No instance refutes that often; a digest beyond it is malformed.
constexpr std::uint64_t maxIncarnation = std::uint64_t(1) << 48;

std::string_view nameOf(InstanceHealth health)
{
    switch (health) {
    case InstanceHealth::Alive:
        return "alive";
    case InstanceHealth::Suspect:
        return "a suspect";
    case InstanceHealth::Leaving:
        return "leaving";
    case InstanceHealth::Gone:
        return "gone";
    }
    return "gone";
}

/// Tellings of one piece of news by each instance, so that it reaches everyone with high probability.
std::uint32_t tellingsFor(std::size_t members)
{
    return 2 * static_cast<std::uint32_t>(std::bit_width(members)) + 2;
}

}

MembershipEngine::MembershipEngine(Instance self, MembershipSettings settings, RandomSource& random, TimePoint now)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(random)
    , m_view({ m_self })
    , m_nextProbe(now + Duration(static_cast<Duration::rep>(random.below(static_cast<std::uint64_t>(settings.probePeriod.count())))))
    , m_lastPeerAnswer(now)
    , m_lastStoreAnswer(now)
    , m_bucketTime(now)
    , m_bucketBytes(static_cast<double>(settings.bytesPerSecond.value))
{
    m_news.add(m_self.name);
}

void MembershipEngine::onListed(const std::vector<Instance>& instances, TimePoint now, MembershipActions& actions)
{
    for (const auto& it : instances) {
        if (it.name != m_self.name) {
            if (m_table.addListed(it, now))
                noteHealth(it.name, actions);
        } else if (it.life == m_self.life) {
            m_wasListed = true;
        } else if (m_wasListed && !m_isSuperseded) {
            m_isSuperseded = true;
            actions.emplace_back(LogMembershipChange { "another process took the name " + m_self.name.value() + "; this one is no longer ready" });
        }
    }
    publishIfChanged(actions);
}

void MembershipEngine::onMessage(const InstanceName& from, const GossipMessage& message, TimePoint now, MembershipActions& actions)
{
    mergeAll(message, now, actions);
    publishIfChanged(actions);
    if (message.isAnswer)
        onAnswer(from, message, now, actions);
    else if (message.probeTarget)
        relayProbe(from, message, now, actions);
    else
        answer(from, message, actions);
}

void MembershipEngine::mergeAll(const GossipMessage& message, TimePoint now, MembershipActions& actions)
{
    for (const auto& it : message.digests) {
        if (it.incarnation > maxIncarnation)
            continue;
        if (it.name == m_self.name) {
            mergeOwn(it);
        } else if (m_table.merge(it, now) == MergeEffect::Changed) {
            m_news.add(it.name);
            noteHealth(it.name, actions);
        }
    }
}

/// Refutes what others say of this instance, or of an earlier life of it.
void MembershipEngine::mergeOwn(const MemberDigest& digest)
{
    const bool isAgreed = digest.life == m_self.life && digest.health <= m_self.health;
    if (isAgreed || digest.incarnation < m_incarnation || m_isSuperseded)
        return;
    m_incarnation = digest.incarnation + 1;
    ++m_counts.refutations;
    m_news.add(m_self.name);
}

void MembershipEngine::onAnswer(const InstanceName& from, const GossipMessage& message, TimePoint now, MembershipActions& actions)
{
    if (!message.sequence || message.sequence > m_sequence)
        return;
    m_lastPeerAnswer = now;
    if (const auto it = m_relayed.find(message.sequence); it != m_relayed.end()) {
        const auto relayed = it->second;
        m_relayed.erase(it);
        send(relayed.asker, newMessage(relayed.sequence, true), actions);
        return;
    }
    if (!m_probe || m_probe->sequence != message.sequence)
        return;
    if (auto* member = m_table.find(m_probe->target))
        member->failedProbes = 0;
    m_probe.reset();
}

void MembershipEngine::relayProbe(const InstanceName& asker, const GossipMessage& message, TimePoint now, MembershipActions& actions)
{
    if (!m_table.find(*message.probeTarget))
        return;
    std::erase_if(m_relayed, [&](const auto& it) { return it.second.expires <= now; });
    m_relayed.emplace(++m_sequence, RelayedProbe { asker, message.sequence, now + m_settings.probePeriod });
    auto probe = newMessage(m_sequence, false);
    addProbeDigests(*message.probeTarget, probe);
    ++m_counts.indirectProbes;
    send(*message.probeTarget, std::move(probe), actions);
}

/// Tells the sender what is known of it when that is not what it says itself, so that it refutes.
void MembershipEngine::answer(const InstanceName& to, const GossipMessage& message, MembershipActions& actions)
{
    auto reply = newMessage(message.sequence, true);
    const auto own = std::find_if(message.digests.begin(), message.digests.end(), [&](const auto& it) { return it.name == to; });
    const auto* member = m_table.find(to);
    if (member && own != message.digests.end() && (member->instance.life != own->life || member->instance.health > own->health))
        reply.digests.push_back(digestOf(member->instance, member->incarnation));
    addNews(reply);
    send(to, std::move(reply), actions);
}

void MembershipEngine::onTimer(TimePoint now, MembershipActions& actions)
{
    if (now > m_nextProbe + pausePeriods * m_settings.probePeriod)
        skipPause(now, actions);
    expireSuspects(now, actions);
    if (m_probe && now >= m_probe->retryAt)
        retryProbe(actions);
    if (now >= m_nextProbe) {
        failProbe(now, actions);
        m_nextProbe = now + m_settings.probePeriod;
        startProbe(now, actions);
    }
    publishIfChanged(actions);
}

/// Silence that this process itself caused says nothing about others.
void MembershipEngine::skipPause(TimePoint now, MembershipActions& actions)
{
    ++m_counts.pauses;
    m_probe.reset();
    m_relayed.clear();
    m_table.restartSuspicions(now);
    actions.emplace_back(LogMembershipChange { "this process stood still; suspicions start anew" });
}

void MembershipEngine::expireSuspects(TimePoint now, MembershipActions& actions)
{
    for (const auto& name : m_table.suspects()) {
        auto& member = *m_table.find(name);
        if (now < member.since + m_settings.suspicionTime)
            continue;
        m_table.setHealth(member, InstanceHealth::Gone, now);
        m_news.add(name);
        noteHealth(name, actions);
    }
    if (!m_table.present().empty())
        m_table.forgetGone(now - m_settings.goneMemory);
}

void MembershipEngine::startProbe(TimePoint now, MembershipActions& actions)
{
    const auto target = nextTarget();
    if (!target)
        return;
    ++m_counts.probes;
    m_probe = Probe { *target, ++m_sequence, now + m_settings.probeTimeout };
    auto message = newMessage(m_sequence, false);
    addProbeDigests(*target, message);
    send(*target, std::move(message), actions);
}

/// Members in random order, each once in a round; one that failed lately comes again at once.
std::optional<InstanceName> MembershipEngine::nextTarget()
{
    const auto lost = m_table.lost();
    const bool wantsLost = m_counts.probes % lostProbeInterval == lostProbeInterval - 1;
    if (m_order.empty()) {
        m_order = m_table.present();
        for (std::size_t i = m_order.size(); i > 1; --i)
            std::swap(m_order[i - 1], m_order[m_random.below(i)]);
    }
    if (!lost.empty() && (wantsLost || m_order.empty()))
        return lost[m_random.below(lost.size())];
    if (m_order.empty())
        return std::nullopt;
    auto target = m_order.back();
    m_order.pop_back();
    return target;
}

/// Tries a silent member once more, directly and through others.
void MembershipEngine::retryProbe(MembershipActions& actions)
{
    m_probe->retryAt = never;
    auto direct = newMessage(m_probe->sequence, false);
    addProbeDigests(m_probe->target, direct);
    send(m_probe->target, std::move(direct), actions);
    for (const auto& it : randomPeers(m_settings.indirectProbes, m_probe->target)) {
        auto message = newMessage(m_probe->sequence, false);
        message.probeTarget = m_probe->target;
        send(it, std::move(message), actions);
    }
}

/// The period ended without an answer.
void MembershipEngine::failProbe(TimePoint now, MembershipActions& actions)
{
    if (!m_probe)
        return;
    const auto name = m_probe->target;
    m_probe.reset();
    auto* member = m_table.find(name);
    if (!member || member->instance.health == InstanceHealth::Gone)
        return;
    if (++member->failedProbes < probesToSuspect) {
        m_order.push_back(name);
        return;
    }
    if (member->instance.health == InstanceHealth::Suspect)
        return;
    ++m_counts.suspicions;
    m_table.setHealth(*member, member->left ? InstanceHealth::Gone : InstanceHealth::Suspect, now);
    m_news.add(name);
    noteHealth(name, actions);
}

GossipMessage MembershipEngine::newMessage(std::uint64_t sequence, bool isAnswer) const
{
    GossipMessage message;
    message.sequence = sequence;
    message.isAnswer = isAnswer;
    message.ruleRevision = m_ruleRevision;
    return message;
}

/// A probe names its sender, what the target has to refute, and one member in turn, so that
/// whoever missed the news learns of everyone in time.
void MembershipEngine::addProbeDigests(const InstanceName& target, GossipMessage& message)
{
    message.digests.push_back(fullDigestOf(m_self, m_incarnation));
    if (const auto* member = m_table.find(target); member && member->instance.health != InstanceHealth::Alive)
        message.digests.push_back(digestOf(member->instance, member->incarnation));
    if (m_tellOrder.empty())
        m_tellOrder = m_table.present();
    if (!m_tellOrder.empty()) {
        if (const auto* member = m_table.find(m_tellOrder.back()))
            message.digests.push_back(fullDigestOf(member->instance, member->incarnation));
        m_tellOrder.pop_back();
    }
    addNews(message);
}

void MembershipEngine::addNews(GossipMessage& message)
{
    const std::size_t limit = m_bucketBytes < 0 ? 1 : m_settings.maxDigests;
    for (const auto& it : m_news.take(limit, tellingsFor(m_table.members().size()))) {
        const auto digest = digestFor(it);
        const bool isNamed = std::any_of(message.digests.begin(), message.digests.end(), [&](const auto& other) { return other.name == it; });
        if (digest && !isNamed)
            message.digests.push_back(*digest);
    }
}

std::optional<MemberDigest> MembershipEngine::digestFor(const InstanceName& name) const
{
    if (name == m_self.name)
        return digestOf(m_self, m_incarnation);
    const auto* member = m_table.find(name);
    if (!member)
        return std::nullopt;
    return digestOf(member->instance, member->incarnation);
}

void MembershipEngine::setRuleRevision(RuleRevision revision, MembershipActions& actions)
{
    if (revision <= m_ruleRevision)
        return;
    m_ruleRevision = revision;
    announce(actions);
}

void MembershipEngine::leave(MembershipActions& actions)
{
    if (!m_self.canOwn())
        return;
    m_self.health = InstanceHealth::Leaving;
    m_news.add(m_self.name);
    announce(actions);
    publishIfChanged(actions);
}

void MembershipEngine::depart(MembershipActions& actions)
{
    m_self.health = InstanceHealth::Gone;
    m_news.add(m_self.name);
    announce(actions);
}

void MembershipEngine::announce(MembershipActions& actions)
{
    for (const auto& it : randomPeers(announceFanout, m_self.name)) {
        auto message = newMessage(0, true);
        addNews(message);
        send(it, std::move(message), actions);
    }
}

std::vector<InstanceName> MembershipEngine::randomPeers(std::size_t n, const InstanceName& except)
{
    std::vector<InstanceName> peers;
    for (const auto& [name, member] : m_table.members()) {
        if (name != except && member.instance.health == InstanceHealth::Alive)
            peers.push_back(name);
    }
    n = std::min(n, peers.size());
    for (std::size_t i = 0; i < n; ++i)
        std::swap(peers[i], peers[i + m_random.below(peers.size() - i)]);
    peers.resize(n);
    return peers;
}

void MembershipEngine::send(const InstanceName& to, GossipMessage message, MembershipActions& actions)
{
    m_counts.digestsSent += message.digests.size();
    actions.emplace_back(SendGossip { to, std::move(message) });
}

void MembershipEngine::onBytes(ByteCount bytes, TimePoint now)
{
    const auto rate = static_cast<double>(m_settings.bytesPerSecond.value);
    const auto passed = std::chrono::duration<double>(now - m_bucketTime).count();
    m_bucketTime = now;
    m_bucketBytes = std::min(rate, m_bucketBytes + rate * passed) - static_cast<double>(bytes.value);
    m_bucketBytes = std::max(m_bucketBytes, -rate);
}

TimePoint MembershipEngine::nextTimer() const
{
    return m_probe ? std::min(m_nextProbe, m_probe->retryAt) : m_nextProbe;
}

bool MembershipEngine::isIsolated(TimePoint now) const
{
    return now - std::max(m_lastPeerAnswer, m_lastStoreAnswer) > m_settings.isolationTime;
}

void MembershipEngine::noteHealth(const InstanceName& name, MembershipActions& actions)
{
    const auto* member = m_table.find(name);
    if (!member)
        return;
    const auto* seen = m_view.find(name);
    const auto health = member->instance.health;
    const bool isSame = seen ? seen->health == health && seen->life == member->instance.life : health == InstanceHealth::Gone;
    if (!isSame)
        actions.emplace_back(LogMembershipChange { name.value() + " is " + std::string(nameOf(health)) });
}

void MembershipEngine::publishIfChanged(MembershipActions& actions)
{
    if (m_publishedChanges == m_table.changes() && m_publishedHealth == m_self.health)
        return;
    m_publishedChanges = m_table.changes();
    m_publishedHealth = m_self.health;
    auto view = m_table.viewWith(m_self);
    if (view == m_view)
        return;
    m_view = std::move(view);
    actions.emplace_back(PublishView { m_view });
}

}
