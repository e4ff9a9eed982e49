#include "membership/membership_engine.h"

#include <algorithm>
#include <bit>
#include <string_view>

namespace lycheefield {

namespace {

/// Peers to which an announcement is sent at once; gossip spreads it to the others.
constexpr std::size_t announceFanout = 5;
/// One probe in this many goes to a failed member, so that a healed network partition is noticed.
constexpr std::uint64_t failedMemberProbeInterval = 8;
/// Consecutive failed probes after which a member becomes a suspect.
constexpr std::uint32_t probesToSuspect = 2;
/// A timer that fires more than this many probe periods late means that this process was paused.
constexpr int pausePeriods = 2;
/// No instance refutes this often, so a digest with a higher incarnation is malformed and ignored.
constexpr std::uint64_t maxIncarnation = std::uint64_t(1) << 48;

std::string_view nameOf(InstanceHealth health)
{
    switch (health) {
    case InstanceHealth::Alive:
        return "alive";
    case InstanceHealth::Suspect:
        return "suspected";
    case InstanceHealth::Leaving:
        return "leaving";
    case InstanceHealth::Gone:
        return "gone";
    }
    return "gone";
}

/// Times that each instance transmits one digest, so that it reaches all members with high probability.
std::uint32_t transmitLimitFor(std::size_t members)
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
    , m_lastPeerResponse(now)
    , m_lastStoreResponse(now)
    , m_bucketUpdatedAt(now)
    , m_bucketBytes(static_cast<double>(settings.bytesPerSecond.value))
{
    m_gossipQueue.add(m_self.name);
}

void MembershipEngine::onListed(const std::vector<Instance>& instances, TimePoint now, MembershipActions& actions)
{
    for (const auto& it : instances) {
        if (it.name != m_self.name) {
            if (m_table.mergeListed(it, now))
                logHealthChange(it.name, actions);
        } else if (it.life == m_self.life) {
            m_wasListed = true;
        } else if (m_wasListed && !m_isSuperseded) {
            m_isSuperseded = true;
            actions.emplace_back(LogMembershipChange { "another process has registered under the instance name " + m_self.name.value() + "; this process is no longer ready" });
        }
    }
    publishIfChanged(actions);
}

void MembershipEngine::onMessage(const InstanceName& from, const GossipMessage& message, TimePoint now, MembershipActions& actions)
{
    mergeDigests(message, now, actions);
    publishIfChanged(actions);
    if (message.isAnswer)
        onProbeResponse(from, message, now, actions);
    else if (message.probeTarget)
        startIndirectProbe(from, message, now, actions);
    else
        respond(from, message, actions);
}

void MembershipEngine::mergeDigests(const GossipMessage& message, TimePoint now, MembershipActions& actions)
{
    for (const auto& it : message.digests) {
        if (it.incarnation > maxIncarnation)
            continue;
        if (it.name == m_self.name) {
            mergeSelfDigest(it);
        } else if (m_table.merge(it, now) == MergeEffect::Changed) {
            m_gossipQueue.add(it.name);
            logHealthChange(it.name, actions);
        }
    }
}

/// Refutes a digest that gives this instance another life or a worse health, by raising the incarnation.
void MembershipEngine::mergeSelfDigest(const MemberDigest& digest)
{
    const bool isAgreed = digest.life == m_self.life && digest.health <= m_self.health;
    if (isAgreed || digest.incarnation < m_incarnation || m_isSuperseded)
        return;
    m_incarnation = digest.incarnation + 1;
    ++m_counts.refutations;
    m_gossipQueue.add(m_self.name);
}

void MembershipEngine::onProbeResponse(const InstanceName& from, const GossipMessage& message, TimePoint now, MembershipActions& actions)
{
    if (!message.sequence || message.sequence > m_sequence)
        return;
    m_lastPeerResponse = now;
    if (const auto it = m_indirectProbes.find(message.sequence); it != m_indirectProbes.end()) {
        const auto indirect = it->second;
        m_indirectProbes.erase(it);
        send(indirect.requester, newMessage(indirect.sequence, true), actions);
        return;
    }
    if (!m_probe || m_probe->sequence != message.sequence)
        return;
    if (auto* member = m_table.find(m_probe->target))
        member->failedProbes = 0;
    m_probe.reset();
}

void MembershipEngine::startIndirectProbe(const InstanceName& requester, const GossipMessage& message, TimePoint now, MembershipActions& actions)
{
    if (!m_table.find(*message.probeTarget))
        return;
    std::erase_if(m_indirectProbes, [&](const auto& it) { return it.second.expires <= now; });
    m_indirectProbes.emplace(++m_sequence, IndirectProbe { requester, message.sequence, now + m_settings.probePeriod });
    auto probe = newMessage(m_sequence, false);
    addProbeDigests(*message.probeTarget, probe);
    ++m_counts.indirectProbes;
    send(*message.probeTarget, std::move(probe), actions);
}

/// Responds to a probe. The response has the sender's digest when this instance believes another life
/// or a worse health than the sender reports, so that the sender can refute it.
void MembershipEngine::respond(const InstanceName& to, const GossipMessage& message, MembershipActions& actions)
{
    auto response = newMessage(message.sequence, true);
    const auto own = std::find_if(message.digests.begin(), message.digests.end(), [&](const auto& it) { return it.name == to; });
    const auto* member = m_table.find(to);
    if (member && own != message.digests.end() && (member->instance.life != own->life || member->instance.health > own->health))
        response.digests.push_back(digestOf(member->instance, member->incarnation));
    addQueuedDigests(response);
    send(to, std::move(response), actions);
}

void MembershipEngine::onNotSent(const InstanceName& to)
{
    if (m_probe && m_probe->target == to)
        m_probe.reset();
}

void MembershipEngine::onTimer(TimePoint now, MembershipActions& actions)
{
    if (now > m_nextProbe + pausePeriods * m_settings.probePeriod)
        resetAfterPause(now, actions);
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

/// Discards pending probes and restarts suspicions: while this process was paused, a missing response
/// is no evidence against another instance.
void MembershipEngine::resetAfterPause(TimePoint now, MembershipActions& actions)
{
    ++m_counts.pauses;
    m_probe.reset();
    m_indirectProbes.clear();
    m_table.restartSuspicionTimers(now);
    actions.emplace_back(LogMembershipChange { "this process was paused; it discards its pending probes and restarts all suspicions" });
}

void MembershipEngine::expireSuspects(TimePoint now, MembershipActions& actions)
{
    for (const auto& name : m_table.suspects()) {
        auto& member = *m_table.find(name);
        if (now < member.healthChangedAt + m_settings.suspicionTime)
            continue;
        m_table.setHealth(member, InstanceHealth::Gone, now);
        m_gossipQueue.add(name);
        logHealthChange(name, actions);
    }
    if (!m_table.presentMembers().empty())
        m_table.evictGone(now - m_settings.goneMemory);
}

void MembershipEngine::startProbe(TimePoint now, MembershipActions& actions)
{
    const auto target = nextProbeTarget();
    if (!target)
        return;
    ++m_counts.probes;
    m_probe = Probe { *target, ++m_sequence, now + m_settings.probeTimeout };
    auto message = newMessage(m_sequence, false);
    addProbeDigests(*target, message);
    send(*target, std::move(message), actions);
}

/// Returns the next member in a random order that has each member once per round. A member whose
/// probe has just failed is returned again first.
std::optional<InstanceName> MembershipEngine::nextProbeTarget()
{
    const auto failedMembers = m_table.failedMembers();
    const bool isFailedMemberTurn = m_counts.probes % failedMemberProbeInterval == failedMemberProbeInterval - 1;
    if (m_probeOrder.empty()) {
        m_probeOrder = m_table.presentMembers();
        for (std::size_t i = m_probeOrder.size(); i > 1; --i)
            std::swap(m_probeOrder[i - 1], m_probeOrder[m_random.below(i)]);
    }
    if (!failedMembers.empty() && (isFailedMemberTurn || m_probeOrder.empty()))
        return failedMembers[m_random.below(failedMembers.size())];
    if (m_probeOrder.empty())
        return std::nullopt;
    auto target = m_probeOrder.back();
    m_probeOrder.pop_back();
    return target;
}

/// Probes a member that has not responded once more, directly and through other members.
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

/// Records a failed probe when the probe period ends without a response.
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
        m_probeOrder.push_back(name);
        return;
    }
    if (member->instance.health == InstanceHealth::Suspect)
        return;
    ++m_counts.suspicions;
    m_table.setHealth(*member, member->hasLeft ? InstanceHealth::Gone : InstanceHealth::Suspect, now);
    m_gossipQueue.add(name);
    logHealthChange(name, actions);
}

GossipMessage MembershipEngine::newMessage(std::uint64_t sequence, bool isAnswer) const
{
    GossipMessage message;
    message.sequence = sequence;
    message.isAnswer = isAnswer;
    message.ruleRevision = m_ruleRevision;
    return message;
}

/// Adds the digests of the sender, of the target if it has something to refute, and of one member in
/// turn, so that an instance that missed earlier gossip learns of every member in time.
void MembershipEngine::addProbeDigests(const InstanceName& target, GossipMessage& message)
{
    message.digests.push_back(fullDigestOf(m_self, m_incarnation));
    if (const auto* member = m_table.find(target); member && member->instance.health != InstanceHealth::Alive)
        message.digests.push_back(digestOf(member->instance, member->incarnation));
    if (m_digestOrder.empty())
        m_digestOrder = m_table.presentMembers();
    if (!m_digestOrder.empty()) {
        if (const auto* member = m_table.find(m_digestOrder.back()))
            message.digests.push_back(fullDigestOf(member->instance, member->incarnation));
        m_digestOrder.pop_back();
    }
    addQueuedDigests(message);
}

void MembershipEngine::addQueuedDigests(GossipMessage& message)
{
    const std::size_t limit = m_bucketBytes < 0 ? 1 : m_settings.maxDigests;
    for (const auto& it : m_gossipQueue.take(limit, transmitLimitFor(m_table.members().size()))) {
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
    m_gossipQueue.add(m_self.name);
    announce(actions);
    publishIfChanged(actions);
}

void MembershipEngine::depart(MembershipActions& actions)
{
    m_self.health = InstanceHealth::Gone;
    m_gossipQueue.add(m_self.name);
    announce(actions);
}

void MembershipEngine::announce(MembershipActions& actions)
{
    for (const auto& it : randomPeers(announceFanout, m_self.name)) {
        auto message = newMessage(0, true);
        addQueuedDigests(message);
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
    const auto passed = std::chrono::duration<double>(now - m_bucketUpdatedAt).count();
    m_bucketUpdatedAt = now;
    m_bucketBytes = std::min(rate, m_bucketBytes + rate * passed) - static_cast<double>(bytes.value);
    m_bucketBytes = std::max(m_bucketBytes, -rate);
}

TimePoint MembershipEngine::nextTimer() const
{
    return m_probe ? std::min(m_nextProbe, m_probe->retryAt) : m_nextProbe;
}

bool MembershipEngine::isIsolated(TimePoint now) const
{
    return now - std::max(m_lastPeerResponse, m_lastStoreResponse) > m_settings.isolationTime;
}

void MembershipEngine::logHealthChange(const InstanceName& name, MembershipActions& actions)
{
    const auto* member = m_table.find(name);
    if (!member)
        return;
    const auto* published = m_view.find(name);
    const auto health = member->instance.health;
    const bool isSame = published ? published->health == health && published->life == member->instance.life : health == InstanceHealth::Gone;
    if (!isSame)
        actions.emplace_back(LogMembershipChange { name.value() + " is " + std::string(nameOf(health)) });
}

void MembershipEngine::publishIfChanged(MembershipActions& actions)
{
    if (m_publishedChanges == m_table.changes() && m_publishedHealth == m_self.health)
        return;
    m_publishedChanges = m_table.changes();
    m_publishedHealth = m_self.health;
    auto view = m_table.buildView(m_self);
    if (view == m_view)
        return;
    m_view = std::move(view);
    actions.emplace_back(PublishView { m_view });
}

}
