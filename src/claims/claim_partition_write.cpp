#include "claims/claim_partition.h"

#include <algorithm>

namespace lycheefield {

namespace {

/// Maximum number of expired segments that one write of the head removes from its range.
constexpr std::uint64_t maxExpiredPerWrite = 8;

}

void ClaimPartition::Batch::add(const ClaimRecord& record)
{
    records.push_back(record);
    lines += toLine(record);
}

void ClaimPartition::writeNext(TimePoint now, ClaimActions& actions)
{
    auto batch = buildBatch(now, actions);
    const bool isDue = std::any_of(m_unwritten.begin(), m_unwritten.end(), [&](const auto& it) { return it.due <= now; });
    if (batch.keys.empty() && !isDue) {
        if (m_needsFreshHead)
            readHead(now, actions);
        return;
    }
    if (headStartsWithSealedSegment()) {
        batch.sealedBytes = m_sealedSegment->body.size();
    } else if (isHeadFull()) {
        return createSegment(now, actions);
    }
    writeHead(std::move(batch), now, actions);
}

/// Puts releases and outcomes first: a claim is evaluated with them in effect, so it must follow them in the log.
ClaimPartition::Batch ClaimPartition::buildBatch(TimePoint now, ClaimActions& actions)
{
    const std::size_t maxBytes = m_context.settings.maxHead.value;
    Batch batch;
    for (const auto& it : m_unwritten) {
        if (batch.lines.size() >= maxBytes)
            break;
        batch.add(it.record);
        ++batch.unwrittenCount;
    }
    const auto storeSeconds = m_context.storeClock.latestAt(now);
    for (auto it = m_waiting.begin(); it != m_waiting.end() && batch.lines.size() < maxBytes;) {
        const auto current = it++;
        // At most one claim of a key per batch: the next one waits for the result of the first.
        if (batch.keys.contains(current->request.key) || evaluate(current, batch, actions) != Evaluation::Grantable)
            continue;
        const auto& request = current->request;
        batch.add({ ClaimRecordKind::Claim, request.key, request.request, request.fingerprint, storeSeconds, RunState::Unknown, {} });
        batch.keys.insert(request.key);
        current->isInFlight = true;
    }
    return batch;
}

ClaimPartition::Evaluation ClaimPartition::evaluate(WaitingClaims::iterator it, const Batch& batch, ClaimActions& actions)
{
    if (fetchSegments(*it, actions))
        return Evaluation::NeedsSegments;
    const auto records = recordsOf(*it, batch);
    if (isReleased(it->request.request, records)) {
        decide(it, ClaimVerdict::StoreUnavailable, nullptr, actions);
        return Evaluation::Decided;
    }
    const auto state = stateOf(records);
    if (!state)
        return Evaluation::Grantable;
    auto verdict = ClaimVerdict::InProgress;
    if (state->token == it->request.request)
        verdict = ClaimVerdict::Granted;
    else if (state->fingerprint != it->request.fingerprint)
        verdict = ClaimVerdict::DifferentContent;
    else if (state->hasOutcome)
        verdict = ClaimVerdict::AlreadyDone;
    // Without an outcome, the key may have been released or settled since the head was read.
    const bool mayHaveChanged = verdict != ClaimVerdict::Granted && !state->hasOutcome;
    if (mayHaveChanged && m_headAsOf < it->arrived) {
        m_needsFreshHead = true;
        return Evaluation::NeedsFreshHead;
    }
    decide(it, verdict, &*state, actions);
    return Evaluation::Decided;
}

std::vector<const ClaimRecord*> ClaimPartition::recordsOf(const WaitingClaim& waiting, const Batch& batch) const
{
    const auto& key = waiting.request.key;
    std::vector<const ClaimRecord*> all;
    for (const auto& [number, records] : waiting.fetched) {
        if (number < m_head->segments().first)
            continue;
        for (const auto& record : records)
            all.push_back(&record);
    }
    if (const auto* records = m_head->find(key)) {
        for (const auto& record : *records)
            all.push_back(&record);
    }
    for (const auto& record : batch.records) {
        if (record.key == key)
            all.push_back(&record);
    }
    return all;
}

std::optional<KeyState> ClaimPartition::stateOf(const std::vector<const ClaimRecord*>& records)
{
    std::optional<KeyState> state;
    for (const auto* it : records)
        state = afterRecord(std::move(state), *it);
    return state;
}

bool ClaimPartition::isReleased(const RequestId& token, const std::vector<const ClaimRecord*>& records)
{
    return std::any_of(records.begin(), records.end(), [&](const auto* it) { return it->kind == ClaimRecordKind::Release && it->token == token; });
}

/// Returns true when the claim has to wait for a segment.
bool ClaimPartition::fetchSegments(WaitingClaim& waiting, ClaimActions& actions)
{
    for (const auto number : m_index.segmentsThatMayHold(waiting.request.key)) {
        if (waiting.fetched.contains(number) || waiting.fetching.contains(number))
            continue;
        const auto id = nextCall();
        m_fetches[id] = { waiting.request.request, number };
        waiting.fetching.insert(number);
        ++m_context.counters.storeReads;
        actions.emplace_back(ReadObject { id, segmentKey(m_number, number) });
    }
    return !waiting.fetching.empty();
}

bool ClaimPartition::isHeadFull() const
{
    return m_head->claims() >= m_context.settings.maxClaimsPerHead || m_head->body().size() >= m_context.settings.maxHead.value;
}

/// A segment whose body is not a prefix of the head's body belongs to a newer head.
bool ClaimPartition::headStartsWithSealedSegment() const
{
    return m_sealedSegment && m_sealedSegment->number == m_head->segments().next
        && m_head->body().compare(0, m_sealedSegment->body.size(), m_sealedSegment->body) == 0;
}

void ClaimPartition::createSegment(TimePoint now, ClaimActions& actions)
{
    // The batch is discarded, so none of its claims is in flight.
    for (auto& it : m_waiting)
        it.isInFlight = false;
    const auto number = m_head->segments().next;
    m_sealedSegment.reset();
    m_headCall = HeadCall { nextCall(), HeadCallKind::CreateSegment, now };
    ++m_context.counters.storeWrites;
    actions.emplace_back(WriteObject { m_headCall->id, segmentKey(m_number, number), ObjectVersion {}, segmentText(m_head->body()) });
}

std::uint64_t ClaimPartition::firstUnexpired(TimePoint now) const
{
    const auto storeSeconds = m_context.storeClock.earliestAt(now);
    const auto lifetime = std::chrono::duration_cast<std::chrono::seconds>(m_context.settings.keyLifetime).count();
    auto first = m_head->segments().first;
    const auto last = std::min(m_head->segments().next, first + maxExpiredPerWrite);
    while (first < last) {
        const auto* summary = m_index.find(first);
        if (!summary || summary->newestClaim == SegmentSummary::neverExpires || summary->newestClaim + lifetime >= storeSeconds)
            break;
        ++first;
    }
    return first;
}

void ClaimPartition::writeHead(Batch batch, TimePoint now, ClaimActions& actions)
{
    batch.segments = { firstUnexpired(now), m_head->segments().next + (batch.sealedBytes > 0 ? 1 : 0) };
    auto body = m_head->body().substr(batch.sealedBytes);
    body += batch.lines;
    m_headCall = HeadCall { nextCall(), HeadCallKind::WriteHead, now };
    m_nextWrite = now + m_context.settings.batchWindow;
    ++m_context.counters.storeWrites;
    actions.emplace_back(WriteObject { m_headCall->id, headKey(m_number), m_headVersion, ClaimLog::headText(batch.segments, body) });
    m_batch = std::move(batch);
}

/// Indexes the sealed segment, whose records the head no longer contains, and writes the group object when the
/// segment is the last of its group.
void ClaimPartition::onSegmentSealed(ClaimActions& actions)
{
    const auto number = m_sealedSegment->number;
    if (const auto records = parseClaimRecords(m_sealedSegment->body))
        m_index.add(number, SegmentSummary::of(*records, m_sealedSegment->version));
    m_sealedSegment.reset();
    ++m_context.counters.segmentsSealed;
    if ((number + 1) % segmentsPerGroup != 0)
        return;
    SegmentSummaries summaries;
    for (auto it = number + 1 - segmentsPerGroup; it <= number; ++it) {
        if (const auto* summary = m_index.find(it))
            summaries.emplace(it, *summary);
    }
    if (summaries.size() != segmentsPerGroup)
        return;
    // The response is not awaited: without the group object its segments are read one by one.
    ++m_context.counters.storeWrites;
    actions.emplace_back(WriteObject { nextCall(), groupKey(m_number, groupOf(number)), ObjectVersion {}, groupText(summaries) });
}

/// Writes empty values to free the space of segments that the head no longer lists, and reads the object of
/// each group whose last segment has expired, so that it can be emptied too. The responses to the writes are not
/// awaited, because a failed write only costs space.
void ClaimPartition::clearExpiredSegments(ClaimActions& actions)
{
    for (auto number = m_head->segments().first; number < m_batch.segments.first; ++number) {
        ++m_context.counters.segmentsExpired;
        ++m_context.counters.storeWrites;
        actions.emplace_back(WriteObject { nextCall(), segmentKey(m_number, number), m_index.find(number)->version, {} });
        if ((number + 1) % segmentsPerGroup != 0)
            continue;
        const auto id = nextCall();
        m_expiredGroupReads[id] = groupOf(number);
        m_absentGroups.erase(groupOf(number));
        ++m_context.counters.storeReads;
        actions.emplace_back(ReadObject { id, groupKey(m_number, groupOf(number)) });
    }
}

void ClaimPartition::onHeadWritten(const StoreResponse& response, TimePoint issued, TimePoint now, ClaimActions& actions)
{
    auto& head = *m_head;
    if (m_batch.sealedBytes > 0) {
        head.removePrefix(m_batch.sealedBytes);
        onSegmentSealed(actions);
    }
    clearExpiredSegments(actions);
    head.setSegments(m_batch.segments);
    head.append(m_batch.records, m_batch.lines);
    m_index.removeBefore(m_batch.segments.first);
    m_headVersion = response.object.version;
    m_headAsOf = issued;
    m_needsFreshHead = false;
    m_unwritten.erase(m_unwritten.begin(), m_unwritten.begin() + static_cast<std::ptrdiff_t>(m_batch.unwrittenCount));
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const auto current = it++;
        if (current->isInFlight)
            decide(current, ClaimVerdict::Granted, nullptr, actions);
    }
}

}
