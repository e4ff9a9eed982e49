#include "claims/claim_world.h"

namespace lycheefield {

namespace {

constexpr std::int64_t storeEpoch = 1'700'000'000;

StoreResponse toReply(StoreCallId call, const standin::PlatformAnswer& answer, TimePoint now)
{
    StoreResponse reply { call, standin::toStoreStatus(answer), answer.object };
    if (reply.status == StoreStatus::Lost || reply.status == StoreStatus::Unavailable)
        reply.object = {};
    else
        reply.object.answeredAt = storeEpoch + std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    return reply;
}

}

ClaimWorld::ClaimWorld(std::size_t instances, const ClaimSettings& settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_instances(instances)
{
    for (std::size_t i = 0; i < instances; ++i)
        start(i, m_settings);
}

void ClaimWorld::start(std::size_t instance, const ClaimSettings& settings)
{
    auto& it = m_instances[instance];
    it = {};
    it.life = ProcessLife(m_random.next());
    it.engine = makeClaimEngine(settings, std::make_unique<SeededRandom>(m_random.next()));
}

void ClaimWorld::restart(std::size_t instance)
{
    start(instance, m_settings);
}

void ClaimWorld::restartWith(std::size_t instance, const ClaimSettings& settings)
{
    start(instance, settings);
}

void ClaimWorld::pause(std::size_t instance, Duration duration)
{
    m_instances[instance].pausedUntil = m_now + duration;
}

void ClaimWorld::at(TimePoint time, std::function<void()> run)
{
    m_queue.push({ time, m_events++, std::move(run) });
}

void ClaimWorld::after(Duration duration, std::function<void()> run)
{
    at(m_now + duration, std::move(run));
}

void ClaimWorld::run(Duration duration)
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

void ClaimWorld::deliver(std::size_t instance, TimePoint time, std::function<void()> run)
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

std::size_t ClaimWorld::claim(std::size_t instance, const std::string& key, std::uint64_t content, Duration deadline)
{
    auto& it = m_instances[instance];
    const auto number = m_attempts.size();
    const RequestId request { it.life, ++it.requests };
    m_attempts.push_back({ request, instance, key, Fingerprint(content), m_now + deadline, {}, std::nullopt, 0, false });
    m_byRequest[request] = number;
    const ClaimRequest claim { request, IdempotencyKey(key), Fingerprint(content), m_now + deadline };
    deliver(instance, m_now, [this, instance, claim] {
        ClaimActions actions;
        engine(instance).claim(claim, m_now, actions);
        execute(instance, actions);
    });
    return number;
}

void ClaimWorld::execute(std::size_t instance, const ClaimActions& actions)
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

void ClaimWorld::call(std::size_t instance, StoreCallId id, const std::function<standin::PlatformAnswer(TimePoint)>& perform, bool isWrite)
{
    const auto fault = faultOf(m_storeCalls++);
    const auto life = m_instances[instance].life;
    const auto reply = [this, instance, life, id](const standin::PlatformAnswer& answer) {
        if (m_instances[instance].life != life)
            return;
        deliver(instance, m_now + callTime, [this, instance, it = toReply(id, answer, m_now)] {
            ClaimActions actions;
            engine(instance).onStoreResponse(it, m_now, actions);
            execute(instance, actions);
        });
    };
    standin::PlatformAnswer refused;
    refused.status = standin::PlatformStatus::Outage;
    standin::PlatformAnswer lost;
    lost.lost = true;
    switch (fault) {
    case CallFault::None:
        return after(callTime, [this, reply, perform] { reply(perform(m_now)); });
    case CallFault::Refused:
        return after(callTime, [reply, refused] { reply(refused); });
    case CallFault::AnswerLost:
        return after(callTime, [this, reply, perform, lost] {
            perform(m_now);
            reply(lost);
        });
    case CallFault::RequestLost:
        return after(callTime, [reply, lost] { reply(lost); });
    case CallFault::LandsLate:
        if (isWrite)
            after(lateBy, [this, perform] { perform(m_now); });
        return after(callTime, [reply, lost] { reply(lost); });
    case CallFault::Slow:
        return after(lateBy, [this, reply, perform] { reply(perform(m_now)); });
    }
}

void ClaimWorld::setTimer(std::size_t instance)
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

void ClaimWorld::onDecided(std::size_t instance, const ClaimDecided& decided)
{
    const auto number = m_byRequest.at(decided.request);
    auto& attempt = m_attempts[number];
    ++attempt.decisions;
    attempt.decided = decided;
    attempt.decidedAt = m_now;
    if (decided.verdict != ClaimVerdict::Granted)
        return;
    if (isRefused(number)) {
        deliver(instance, m_now + refusalTime, [this, instance, number] { finish(instance, number); });
        return;
    }
    attempt.ran = true; // The bytes leave at once: whatever befalls the instance afterwards, it ran.
    deliver(instance, m_now + runTime, [this, instance, number] { finish(instance, number); });
}

void ClaimWorld::finish(std::size_t instance, std::size_t number)
{
    const auto& attempt = m_attempts[number];
    ClaimActions actions;
    if (attempt.ran)
        engine(instance).recordOutcome(attempt.request, RunState::Ran, "answer of " + attempt.request.toString(), m_now, actions);
    else
        engine(instance).release(attempt.request, m_now, actions);
    execute(instance, actions);
}

std::optional<ClaimVerdict> ClaimWorld::verdict(std::size_t attempt) const
{
    const auto& it = m_attempts[attempt];
    return it.decided ? std::optional(it.decided->verdict) : std::nullopt;
}

std::vector<std::string> ClaimWorld::violations() const
{
    std::vector<std::string> found;
    std::map<std::string, const Attempt*> runs;
    for (const auto& it : m_attempts) {
        if (it.decisions > 1)
            found.push_back("decided twice: " + it.key);
        if (it.ran && !runs.emplace(it.key, &it).second)
            found.push_back("ran twice: " + it.key);
    }
    for (const auto& it : m_attempts) {
        if (it.ran && it.decided->verdict != ClaimVerdict::Granted)
            found.push_back("ran without a grant: " + it.key);
        if (!it.decided)
            continue;
        if (it.decided->verdict == ClaimVerdict::Granted && it.decidedAt >= it.deadline)
            found.push_back("granted after its deadline: " + it.key);
        const auto run = runs.find(it.key);
        const auto verdict = it.decided->verdict;
        if (verdict == ClaimVerdict::AlreadyDone) {
            if (run == runs.end())
                found.push_back("told of a run that never was: " + it.key);
            else if (it.decided->recordedAnswer != "answer of " + run->second->request.toString())
                found.push_back("told another request's answer: " + it.key);
        }
        if (verdict == ClaimVerdict::DifferentContent) {
            bool isOther = false;
            for (const auto& other : m_attempts)
                isOther = isOther || (other.key == it.key && other.fingerprint != it.fingerprint);
            if (!isOther)
                found.push_back("told of other content that never was: " + it.key);
        }
    }
    return found;
}

}
