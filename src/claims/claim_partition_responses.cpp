#include "claims/claim_partition.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

void ClaimPartition::onStoreResponse(const StoreResponse& response, TimePoint now, ClaimActions& actions)
{
    if (m_headCall && m_headCall->id == response.call) {
        const auto call = *std::exchange(m_headCall, std::nullopt);
        if (response.object.respondedAt != 0)
            m_context.storeClock.update(response.object.respondedAt, call.issued, now);
        // A claim whose deadline passed before the response arrived must not be granted.
        if (call.kind == HeadCallKind::WriteHead)
            expire(now, actions);
        onHeadCall(call, response, now, actions);
    } else if (auto load = m_segmentLoads.extract(response.call)) {
        onSegmentLoaded(load.mapped(), response, now, actions);
    } else if (auto group = m_groupLoads.extract(response.call)) {
        onGroupLoaded(group.mapped(), response, now, actions);
    } else if (auto expired = m_expiredGroupReads.extract(response.call)) {
        onExpiredGroupRead(expired.mapped(), response, actions);
    } else if (auto fetch = m_fetches.extract(response.call)) {
        onSegmentFetched(fetch.mapped(), response, now, actions);
    }
    advance(now, actions);
}

void ClaimPartition::onHeadCall(const HeadCall& call, const StoreResponse& response, TimePoint now, ClaimActions& actions)
{
    switch (call.kind) {
    case HeadCallKind::ReadHead:
        return onHeadRead(response, call.issued, now, actions);
    case HeadCallKind::WriteHead:
        return onHeadWriteEnded(response, call.issued, now, actions);
    case HeadCallKind::CreateSegment:
        return onSegmentCreated(response, now, actions);
    case HeadCallKind::ReadSegment:
        return onSegmentRead(response, now, actions);
    }
}

void ClaimPartition::onHeadRead(const StoreResponse& response, TimePoint issued, TimePoint now, ClaimActions& actions)
{
    const bool isFound = response.status == StoreStatus::Ok;
    if (!isFound && response.status != StoreStatus::NotFound)
        return onFailure(response.status, now, actions);
    auto log = ClaimLog::parse(isFound ? response.object.value : std::string {});
    if (!log) {
        ++m_context.counters.unreadableObjects;
        return onFailure(StoreStatus::Unavailable, now, actions);
    }
    m_head = std::move(*log);
    m_headVersion = isFound ? response.object.version : ObjectVersion {};
    m_headAsOf = issued;
    m_needsFreshHead = false;
    m_isStoreUnreachable = false;
    m_retryDelay = m_context.settings.initialBackoff;
    m_index.removeBefore(m_head->segments().first);
    if (m_sealedSegment && m_sealedSegment->number < m_head->segments().next)
        m_sealedSegment.reset();
}

void ClaimPartition::onHeadWriteEnded(const StoreResponse& response, TimePoint issued, TimePoint now, ClaimActions& actions)
{
    if (response.status == StoreStatus::Ok) {
        m_isStoreUnreachable = false;
        m_retryDelay = m_context.settings.initialBackoff;
        return onHeadWritten(response, issued, now, actions);
    }
    m_head.reset();
    for (auto& it : m_waiting) {
        // After a conflict or a refusal the write has no effect, now or later.
        if (it.isInFlight && response.status == StoreStatus::Lost)
            it.mayHaveTakenEffect = true;
        it.isInFlight = false;
    }
    if (response.status == StoreStatus::Unavailable)
        return onFailure(response.status, now, actions);
    if (response.status == StoreStatus::Lost) {
        ++m_context.counters.lostResponses;
        return;
    }
    ++m_context.counters.conflicts;
}

void ClaimPartition::onSegmentCreated(const StoreResponse& response, TimePoint now, ClaimActions& actions)
{
    const auto number = m_head->segments().next;
    switch (response.status) {
    case StoreStatus::Ok:
        m_sealedSegment = SealedSegment { number, response.object.version, m_head->body() };
        return;
    case StoreStatus::Conflict:
    case StoreStatus::Lost:
        // The segment may exist already, from another instance or from this one: its content decides what to do.
        m_headCall = HeadCall { nextCall(), HeadCallKind::ReadSegment, now };
        ++m_context.counters.storeReads;
        actions.emplace_back(ReadObject { m_headCall->id, segmentKey(m_number, number) });
        return;
    case StoreStatus::NotFound:
    case StoreStatus::HistoryExpired:
    case StoreStatus::Unavailable:
        return onFailure(StoreStatus::Unavailable, now, actions);
    }
}

void ClaimPartition::onSegmentRead(const StoreResponse& response, TimePoint now, ClaimActions& actions)
{
    if (response.status == StoreStatus::NotFound)
        return; // The create whose response was lost has not taken effect and is sent again.
    if (response.status != StoreStatus::Ok)
        return onFailure(response.status, now, actions);
    const auto body = segmentBody(response.object.value);
    const auto number = m_head->segments().next;
    if (body && !body->empty() && m_head->body().compare(0, body->size(), *body) == 0) {
        m_sealedSegment = SealedSegment { number, response.object.version, std::string(*body) };
        return;
    }
    // The segment holds more than this head, or has expired: a newer head exists.
    m_head.reset();
    backOff(now);
}

std::optional<std::vector<ClaimRecord>> ClaimPartition::readSegment(const StoreResponse& response)
{
    if (response.status != StoreStatus::Ok)
        return std::nullopt;
    if (response.object.value.empty()) {
        // An expired segment has an empty value: a newer head no longer lists it.
        m_needsFreshHead = true;
        return std::vector<ClaimRecord> {};
    }
    const auto body = segmentBody(response.object.value);
    auto records = body ? parseClaimRecords(*body) : std::nullopt;
    if (!records)
        ++m_context.counters.unreadableObjects;
    return records;
}

void ClaimPartition::onSegmentLoaded(std::uint64_t number, const StoreResponse& response, TimePoint now, ClaimActions& actions)
{
    if (const auto records = readSegment(response)) {
        m_index.add(number, SegmentSummary::of(*records, response.object.version));
        return;
    }
    // Without the segment no claim can be evaluated.
    onFailure(response.status == StoreStatus::Lost ? StoreStatus::Lost : StoreStatus::Unavailable, now, actions);
}

void ClaimPartition::onGroupLoaded(std::uint64_t group, const StoreResponse& response, TimePoint now, ClaimActions& actions)
{
    if (response.status != StoreStatus::Ok && response.status != StoreStatus::NotFound)
        return onFailure(response.status, now, actions);
    auto summaries = response.status == StoreStatus::Ok ? parseGroup(response.object.value) : std::nullopt;
    if (!summaries || groupOf(summaries->begin()->first) != group || groupOf(summaries->rbegin()->first) != group) {
        m_absentGroups.insert(group);
        return;
    }
    for (auto& [number, summary] : *summaries) {
        if (number >= m_head->segments().first)
            m_index.add(number, std::move(summary));
    }
}

void ClaimPartition::onExpiredGroupRead(std::uint64_t group, const StoreResponse& response, ClaimActions& actions)
{
    if (response.status != StoreStatus::Ok || response.object.value.empty())
        return;
    ++m_context.counters.storeWrites;
    actions.emplace_back(WriteObject { nextCall(), groupKey(m_number, group), response.object.version, {} });
}

void ClaimPartition::onSegmentFetched(const Fetch& fetch, const StoreResponse& response, TimePoint now, ClaimActions& actions)
{
    const auto it = findWaiting(fetch.request);
    if (it == m_waiting.end())
        return;
    it->fetching.erase(fetch.segment);
    auto records = readSegment(response);
    if (records) {
        std::erase_if(*records, [&](const auto& record) { return record.key != it->request.key; });
        it->fetched[fetch.segment] = std::move(*records);
        return;
    }
    if (response.status == StoreStatus::Lost)
        return backOff(now);
    giveUp(it, now, actions);
}

void ClaimPartition::onFailure(StoreStatus status, TimePoint now, ClaimActions& actions)
{
    backOff(now);
    if (status == StoreStatus::Lost || status == StoreStatus::Conflict)
        return; // The store may only be slow, so claims wait until their deadlines.
    m_isStoreUnreachable = true;
    refuseAll(now, actions);
}

}
