#include "claims/claim_partition.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

void ClaimPartition::onStoreResponse(const StoreResponse& reply, TimePoint now, ClaimActions& actions)
{
    if (m_headCall && m_headCall->id == reply.call) {
        const auto call = *std::exchange(m_headCall, std::nullopt);
        if (reply.object.answeredAt != 0)
            m_context.storeClock.note(reply.object.answeredAt, call.issued, now);
        // A claim whose deadline passed before the answer came is not granted any more.
        if (call.kind == HeadCallKind::WriteHead)
            expire(now, actions);
        onHeadCall(call, reply, now, actions);
    } else if (auto load = m_loads.extract(reply.call)) {
        onSegmentLoaded(load.mapped(), reply, now, actions);
    } else if (auto group = m_groupLoads.extract(reply.call)) {
        onGroupLoaded(group.mapped(), reply, now, actions);
    } else if (auto expired = m_expiredGroups.extract(reply.call)) {
        onExpiredGroupRead(expired.mapped(), reply, actions);
    } else if (auto fetch = m_fetches.extract(reply.call)) {
        onFetched(fetch.mapped(), reply, now, actions);
    }
    pump(now, actions);
}

void ClaimPartition::onHeadCall(const HeadCall& call, const StoreResponse& reply, TimePoint now, ClaimActions& actions)
{
    switch (call.kind) {
    case HeadCallKind::ReadHead:
        return onHeadRead(reply, call.issued, now, actions);
    case HeadCallKind::WriteHead:
        return onHeadWriteEnded(reply, call.issued, now, actions);
    case HeadCallKind::CreateSegment:
        return onSegmentCreated(reply, now, actions);
    case HeadCallKind::ReadSegment:
        return onSegmentRead(reply, now, actions);
    }
}

void ClaimPartition::onHeadRead(const StoreResponse& reply, TimePoint issued, TimePoint now, ClaimActions& actions)
{
    const bool isFound = reply.status == StoreStatus::Ok;
    if (!isFound && reply.status != StoreStatus::NotFound)
        return onFailure(reply.status, now, actions);
    auto log = ClaimLog::parse(isFound ? reply.object.value : std::string {});
    if (!log) {
        ++m_context.counters.unreadableObjects;
        return onFailure(StoreStatus::Unavailable, now, actions);
    }
    m_head = std::move(*log);
    m_headVersion = isFound ? reply.object.version : ObjectVersion {};
    m_headAsOf = issued;
    m_needsFreshHead = false;
    m_isStoreDown = false;
    m_retryDelay = m_context.settings.retryFirst;
    m_index.removeBefore(m_head->segments().first);
    if (m_sealed && m_sealed->number < m_head->segments().next)
        m_sealed.reset();
}

void ClaimPartition::onHeadWriteEnded(const StoreResponse& reply, TimePoint issued, TimePoint now, ClaimActions& actions)
{
    if (reply.status == StoreStatus::Ok) {
        m_isStoreDown = false;
        m_retryDelay = m_context.settings.retryFirst;
        return onHeadWritten(reply, issued, now, actions);
    }
    m_head.reset();
    for (auto& it : m_waiting) {
        // After a conflict or a refusal this write changed nothing and never will.
        if (it.isInFlight && reply.status == StoreStatus::Lost)
            it.mayHaveLanded = true;
        it.isInFlight = false;
    }
    if (reply.status == StoreStatus::Unavailable)
        return onFailure(reply.status, now, actions);
    if (reply.status == StoreStatus::Lost) {
        ++m_context.counters.lostAnswers;
        return;
    }
    ++m_context.counters.conflicts;
}

void ClaimPartition::onSegmentCreated(const StoreResponse& reply, TimePoint now, ClaimActions& actions)
{
    const auto number = m_head->segments().next;
    switch (reply.status) {
    case StoreStatus::Ok:
        m_sealed = Sealed { number, reply.object.version, m_head->body() };
        return;
    case StoreStatus::Conflict:
    case StoreStatus::Lost:
        // Another instance's segment, or our own: whichever is there starts the head's body.
        m_headCall = HeadCall { nextCall(), HeadCallKind::ReadSegment, now };
        ++m_context.counters.storeReads;
        actions.emplace_back(ReadObject { m_headCall->id, segmentKey(m_number, number) });
        return;
    case StoreStatus::NotFound:
    case StoreStatus::HistoryGone:
    case StoreStatus::Unavailable:
        return onFailure(StoreStatus::Unavailable, now, actions);
    }
}

void ClaimPartition::onSegmentRead(const StoreResponse& reply, TimePoint now, ClaimActions& actions)
{
    if (reply.status == StoreStatus::NotFound)
        return; // A create whose answer was lost did not land; it is sent again.
    if (reply.status != StoreStatus::Ok)
        return onFailure(reply.status, now, actions);
    const auto body = segmentBody(reply.object.value);
    const auto number = m_head->segments().next;
    if (body && !body->empty() && m_head->body().compare(0, body->size(), *body) == 0) {
        m_sealed = Sealed { number, reply.object.version, std::string(*body) };
        return;
    }
    // The segment holds more than this head, or is gone already: the head is not the newest.
    m_head.reset();
    pause(now);
}

std::optional<std::vector<ClaimRecord>> ClaimPartition::readSegment(const StoreResponse& reply)
{
    if (reply.status != StoreStatus::Ok)
        return std::nullopt;
    if (reply.object.value.empty()) {
        // An expired segment: the head at hand is older than the one that let it go.
        m_needsFreshHead = true;
        return std::vector<ClaimRecord> {};
    }
    const auto body = segmentBody(reply.object.value);
    auto records = body ? parseClaimRecords(*body) : std::nullopt;
    if (!records)
        ++m_context.counters.unreadableObjects;
    return records;
}

void ClaimPartition::onSegmentLoaded(std::uint64_t number, const StoreResponse& reply, TimePoint now, ClaimActions& actions)
{
    if (const auto records = readSegment(reply)) {
        m_index.add(number, SegmentSummary::of(*records, reply.object.version));
        return;
    }
    // Without the segment no claim can be judged.
    onFailure(reply.status == StoreStatus::Lost ? StoreStatus::Lost : StoreStatus::Unavailable, now, actions);
}

void ClaimPartition::onGroupLoaded(std::uint64_t group, const StoreResponse& reply, TimePoint now, ClaimActions& actions)
{
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound)
        return onFailure(reply.status, now, actions);
    auto summaries = reply.status == StoreStatus::Ok ? parseGroup(reply.object.value) : std::nullopt;
    if (!summaries || groupOf(summaries->begin()->first) != group || groupOf(summaries->rbegin()->first) != group) {
        m_absentGroups.insert(group);
        return;
    }
    for (auto& [number, summary] : *summaries) {
        if (number >= m_head->segments().first)
            m_index.add(number, std::move(summary));
    }
}

void ClaimPartition::onExpiredGroupRead(std::uint64_t group, const StoreResponse& reply, ClaimActions& actions)
{
    if (reply.status != StoreStatus::Ok || reply.object.value.empty())
        return;
    ++m_context.counters.storeWrites;
    actions.emplace_back(WriteObject { nextCall(), groupKey(m_number, group), reply.object.version, {} });
}

void ClaimPartition::onFetched(const Fetch& fetch, const StoreResponse& reply, TimePoint now, ClaimActions& actions)
{
    const auto it = findWaiting(fetch.request);
    if (it == m_waiting.end())
        return;
    it->fetching.erase(fetch.segment);
    auto records = readSegment(reply);
    if (records) {
        std::erase_if(*records, [&](const auto& record) { return record.key != it->request.key; });
        it->fetched[fetch.segment] = std::move(*records);
        return;
    }
    if (reply.status == StoreStatus::Lost)
        return pause(now);
    giveUp(it, now, actions);
}

void ClaimPartition::onFailure(StoreStatus status, TimePoint now, ClaimActions& actions)
{
    pause(now);
    if (status == StoreStatus::Lost || status == StoreStatus::Conflict)
        return; // A slow store: claims wait for it until their deadlines.
    m_isStoreDown = true;
    refuseAll(now, actions);
}

}
