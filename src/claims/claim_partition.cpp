#include "claims/claim_partition.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// Segment and group objects that are read in parallel while the index is built.
constexpr std::size_t maxConcurrentLoads = 8;

}

ClaimPartition::ClaimPartition(std::uint32_t number, ClaimContext& context)
    : m_number(number)
    , m_context(context)
    , m_retryDelay(context.settings.initialBackoff)
{
}

void ClaimPartition::claim(const ClaimRequest& request, TimePoint now, ClaimActions& actions)
{
    const auto& settings = m_context.settings;
    const auto it = m_waiting.insert(m_waiting.end(), WaitingClaim { request, now, false, false, {}, {} });
    const bool isUnreachable = m_isStoreUnreachable && now < m_retryAt;
    const bool isFull = m_waiting.size() > settings.maxWaitingPerPartition || m_unwritten.size() >= settings.maxUnsettledPerPartition;
    if (isUnreachable || isFull || request.key.value().size() > settings.maxKey.value)
        return decide(it, ClaimVerdict::StoreUnavailable, nullptr, actions);
    advance(now, actions);
}

void ClaimPartition::addRecord(const ClaimRecord& record, TimePoint now, ClaimActions& actions)
{
    const bool isOutcome = record.kind == ClaimRecordKind::Outcome;
    m_unwritten.push_back({ record, isOutcome ? now + m_context.settings.outcomeDelay : now });
    advance(now, actions);
}

void ClaimPartition::onTimer(TimePoint now, ClaimActions& actions)
{
    advance(now, actions);
}

TimePoint ClaimPartition::nextWake() const
{
    TimePoint next = never;
    for (const auto& it : m_waiting)
        next = std::min(next, it.request.deadline);
    if (m_headCall || isLoading())
        return next;
    const TimePoint earliest = std::max(m_retryAt, m_head ? m_nextWrite : TimePoint {});
    const bool canAct = std::any_of(m_waiting.begin(), m_waiting.end(), [](const auto& it) { return it.fetching.empty(); });
    if (canAct)
        next = std::min(next, earliest);
    for (const auto& it : m_unwritten)
        next = std::min(next, std::max(earliest, it.due));
    return next;
}

bool ClaimPartition::hasWork(TimePoint now) const
{
    const bool hasClaim = std::any_of(m_waiting.begin(), m_waiting.end(), [](const auto& it) { return it.fetching.empty(); });
    return hasClaim || std::any_of(m_unwritten.begin(), m_unwritten.end(), [&](const auto& it) { return it.due <= now; });
}

void ClaimPartition::advance(TimePoint now, ClaimActions& actions)
{
    expire(now, actions);
    if (m_headCall || isLoading() || now < m_retryAt || !hasWork(now))
        return;
    if (!m_head || m_needsFreshHead)
        return readHead(now, actions);
    if (!loadSegments(actions) || now < m_nextWrite)
        return;
    writeNext(now, actions);
}

bool ClaimPartition::loadSegments(ClaimActions& actions)
{
    const auto missing = m_index.missing(m_head->segments(), maxConcurrentLoads * segmentsPerGroup);
    std::set<std::uint64_t> groups;
    std::size_t loads = 0;
    for (const auto number : missing) {
        if (loads == maxConcurrentLoads)
            break;
        const auto group = groupOf(number);
        const bool isComplete = (group + 1) * segmentsPerGroup <= m_head->segments().next;
        if (!isComplete || m_absentGroups.contains(group)) {
            loadSegment(number, actions);
            ++loads;
        } else if (groups.insert(group).second) {
            loadGroup(group, actions);
            ++loads;
        }
    }
    return missing.empty();
}

void ClaimPartition::loadGroup(std::uint64_t group, ClaimActions& actions)
{
    const auto id = nextCall();
    m_groupLoads[id] = group;
    ++m_context.counters.storeReads;
    actions.emplace_back(ReadObject { id, groupKey(m_number, group) });
}

void ClaimPartition::loadSegment(std::uint64_t number, ClaimActions& actions)
{
    const auto id = nextCall();
    m_segmentLoads[id] = number;
    ++m_context.counters.storeReads;
    actions.emplace_back(ReadObject { id, segmentKey(m_number, number) });
}

void ClaimPartition::readHead(TimePoint now, ClaimActions& actions)
{
    m_headCall = HeadCall { nextCall(), HeadCallKind::ReadHead, now };
    ++m_context.counters.storeReads;
    actions.emplace_back(ReadObject { m_headCall->id, headKey(m_number) });
}

void ClaimPartition::expire(TimePoint now, ClaimActions& actions)
{
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const auto next = std::next(it);
        if (it->request.deadline <= now)
            giveUp(it, now, actions);
        it = next;
    }
}

void ClaimPartition::giveUp(WaitingClaims::iterator it, TimePoint now, ClaimActions& actions)
{
    if (it->isInFlight || it->mayHaveTakenEffect) {
        ClaimRecord release;
        release.kind = ClaimRecordKind::Release;
        release.key = it->request.key;
        release.token = it->request.request;
        m_unwritten.push_back({ release, now });
    }
    decide(it, ClaimVerdict::StoreUnavailable, nullptr, actions);
}

void ClaimPartition::refuseAll(TimePoint now, ClaimActions& actions)
{
    while (!m_waiting.empty())
        giveUp(m_waiting.begin(), now, actions);
}

void ClaimPartition::decide(WaitingClaims::iterator it, ClaimVerdict verdict, const KeyState* state, ClaimActions& actions)
{
    ClaimDecided decided;
    decided.request = it->request.request;
    decided.verdict = verdict;
    if (verdict == ClaimVerdict::AlreadyDone) {
        decided.recordedState = state->state;
        decided.recordedAnswer = state->answer;
    }
    m_waiting.erase(it);
    actions.emplace_back(std::move(decided));
}

void ClaimPartition::backOff(TimePoint now)
{
    const auto half = m_retryDelay / 2;
    const auto jitter = Duration(static_cast<Duration::rep>(m_context.random->below(static_cast<std::uint64_t>(half.count()) + 1)));
    m_retryAt = now + half + jitter;
    m_retryDelay = std::min(m_context.settings.maxBackoff, m_retryDelay * 2);
}

StoreCallId ClaimPartition::nextCall()
{
    return StoreCallId(++m_context.lastCall * m_context.settings.partitions + m_number);
}

ClaimPartition::WaitingClaims::iterator ClaimPartition::findWaiting(const RequestId& request)
{
    return std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto& it) { return it.request.request == request; });
}

}
