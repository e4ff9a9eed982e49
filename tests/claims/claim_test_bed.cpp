#include "claims/claim_test_bed.h"

namespace lycheefield {

namespace {

constexpr std::int64_t storeEpoch = 1'700'000'000;

StoreResponse toStoreResponse(StoreCallId call, const standin::StoreResult& answer, TimePoint now)
{
    StoreResponse response { call, standin::toStoreStatus(answer), answer.object };
    if (response.status == StoreStatus::Lost || response.status == StoreStatus::Unavailable)
        response.object = {};
    else
        response.object.respondedAt = storeEpoch + std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    return response;
}

}

ClaimTestBed::ClaimTestBed(std::size_t instances, const ClaimSettings& settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_instances(instances)
{
    for (std::size_t i = 0; i < instances; ++i)
        start(i, m_settings);
}

void ClaimTestBed::start(std::size_t instance, const ClaimSettings& settings)
{
    auto& it = m_instances[instance];
    it = {};
    it.life = ProcessLife(m_random.next());
    it.engine = makeClaimEngine(settings, std::make_unique<SeededRandom>(m_random.next()));
}

void ClaimTestBed::restart(std::size_t instance)
{
    start(instance, m_settings);
}

void ClaimTestBed::restartWith(std::size_t instance, const ClaimSettings& settings)
{
    start(instance, settings);
}

void ClaimTestBed::pause(std::size_t instance, Duration duration)
{
    m_instances[instance].pausedUntil = m_now + duration;
}

void ClaimTestBed::at(TimePoint time, std::function<void()> run)
{
    m_queue.push({ time, m_events++, std::move(run) });
}

void ClaimTestBed::after(Duration duration, std::function<void()> run)
{
    at(m_now + duration, std::move(run));
}

void ClaimTestBed::run(Duration duration)
{
    const auto end = m_now + duration;
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const auto event = m_queue.top();
        m_queue.pop();
        m_now = event.at;
        m_store.advance(m_now);
        event.run();
    }
    m_now = end;
}

void ClaimTestBed::deliver(std::size_t instance, TimePoint time, std::function<void()> run)
{
    const auto life = m_instances[instance].life;
    at(time, [this, instance, life, run = std::move(run)] {
        const auto& it = m_instances[instance];
        if (it.life != life)
            return;
        if (m_now < it.pausedUntil)
            return deliver(instance, it.pausedUntil, run);
        run();
    });
}

std::size_t ClaimTestBed::claim(std::size_t instance, const std::string& key, std::uint64_t content, Duration deadline)
{
    auto& it = m_instances[instance];
    const auto number = m_trackedClaims.size();
    const RequestId request { it.life, ++it.requests };
    m_trackedClaims.push_back({ request, instance, key, Fingerprint(content), m_now + deadline, {}, std::nullopt, 0, false });
    m_byRequest[request] = number;
    const ClaimRequest claim { request, IdempotencyKey(key), Fingerprint(content), m_now + deadline };
    deliver(instance, m_now, [this, instance, claim] {
        ClaimActions actions;
        engine(instance).claim(claim, m_now, actions);
        execute(instance, actions);
    });
    return number;
}

void ClaimTestBed::execute(std::size_t instance, const ClaimActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* read = std::get_if<ReadObject>(&action)) {
            call(
                instance, read->call, [this, key = read->key](TimePoint time) { return m_store.read(key, time); }, false);
        } else if (const auto* write = std::get_if<WriteObject>(&action)) {
            call(
                instance, write->call, [this, it = *write](TimePoint time) { return m_store.write(it.key, it.expected, it.value, time); }, true);
        } else {
            onDecided(instance, std::get<ClaimDecided>(action));
        }
    }
    setTimer(instance);
}

void ClaimTestBed::call(std::size_t instance, StoreCallId id, const std::function<standin::StoreResult(TimePoint)>& perform, bool isWrite)
{
    const auto fault = faultOf(m_storeCalls++);
    const auto life = m_instances[instance].life;
    const auto respond = [this, instance, life, id](const standin::StoreResult& answer) {
        if (m_instances[instance].life != life)
            return;
        deliver(instance, m_now + callTime, [this, instance, it = toStoreResponse(id, answer, m_now)] {
            ClaimActions actions;
            engine(instance).onStoreResponse(it, m_now, actions);
            execute(instance, actions);
        });
    };
    standin::StoreResult refused;
    refused.status = standin::PlatformStatus::Outage;
    standin::StoreResult lost;
    lost.lost = true;
    switch (fault) {
    case CallFault::None:
        return after(callTime, [this, respond, perform] { respond(perform(m_now)); });
    case CallFault::Refused:
        return after(callTime, [respond, refused] { respond(refused); });
    case CallFault::ResponseLost:
        return after(callTime, [this, respond, perform, lost] {
            perform(m_now);
            respond(lost);
        });
    case CallFault::RequestLost:
        return after(callTime, [respond, lost] { respond(lost); });
    case CallFault::AppliedLate:
        if (isWrite)
            after(lateDelay, [this, perform] { perform(m_now); });
        return after(callTime, [respond, lost] { respond(lost); });
    case CallFault::Slow:
        return after(lateDelay, [this, respond, perform] { respond(perform(m_now)); });
    }
}

void ClaimTestBed::setTimer(std::size_t instance)
{
    auto& it = m_instances[instance];
    const auto next = it.engine->nextWake();
    if (next == never || next == it.wake)
        return;
    it.wake = next;
    deliver(instance, std::max(next, m_now), [this, instance] {
        m_instances[instance].wake = never;
        ClaimActions actions;
        engine(instance).onTimer(m_now, actions);
        execute(instance, actions);
    });
}

void ClaimTestBed::onDecided(std::size_t instance, const ClaimDecided& decided)
{
    const auto number = m_byRequest.at(decided.request);
    auto& tracked = m_trackedClaims[number];
    ++tracked.decisions;
    tracked.decided = decided;
    tracked.decidedAt = m_now;
    if (decided.verdict != ClaimVerdict::Granted)
        return;
    if (isRefused(number)) {
        deliver(instance, m_now + refusalTime, [this, instance, number] { finish(instance, number); });
        return;
    }
    tracked.ran = true; // The request is sent at once, so the request counts as run even if the instance is killed afterwards.
    deliver(instance, m_now + runTime, [this, instance, number] { finish(instance, number); });
}

void ClaimTestBed::finish(std::size_t instance, std::size_t number)
{
    const auto& tracked = m_trackedClaims[number];
    ClaimActions actions;
    if (tracked.ran)
        engine(instance).recordOutcome(tracked.request, RunState::Ran, "answer of " + tracked.request.toString(), m_now, actions);
    else
        engine(instance).release(tracked.request, m_now, actions);
    execute(instance, actions);
}

std::optional<ClaimVerdict> ClaimTestBed::verdict(std::size_t number) const
{
    const auto& it = m_trackedClaims[number];
    return it.decided ? std::optional(it.decided->verdict) : std::nullopt;
}

std::vector<std::string> ClaimTestBed::violations() const
{
    std::vector<std::string> found;
    std::map<std::string, const TrackedClaim*> runs;
    for (const auto& it : m_trackedClaims) {
        if (it.decisions > 1)
            found.push_back("the claim was decided twice: " + it.key);
        if (it.ran && !runs.emplace(it.key, &it).second)
            found.push_back("two requests ran under one key: " + it.key);
    }
    for (const auto& it : m_trackedClaims) {
        if (it.ran && it.decided->verdict != ClaimVerdict::Granted)
            found.push_back("a request ran without a grant: " + it.key);
        if (!it.decided)
            continue;
        if (it.decided->verdict == ClaimVerdict::Granted && it.decidedAt >= it.deadline)
            found.push_back("the claim was granted after its deadline: " + it.key);
        const auto run = runs.find(it.key);
        const auto verdict = it.decided->verdict;
        if (verdict == ClaimVerdict::AlreadyDone) {
            if (run == runs.end())
                found.push_back("the decision reports an outcome, but no request ran under the key: " + it.key);
            else if (it.decided->recordedAnswer != "answer of " + run->second->request.toString())
                found.push_back("the decision carries the answer of another request: " + it.key);
        }
        if (verdict == ClaimVerdict::DifferentContent) {
            bool isOther = false;
            for (const auto& other : m_trackedClaims)
                isOther = isOther || (other.key == it.key && other.fingerprint != it.fingerprint);
            if (!isOther)
                found.push_back("the decision reports different content, but all claims of the key had the same: " + it.key);
        }
    }
    return found;
}

}
