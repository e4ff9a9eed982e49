#pragma once

#include "base/random_source.h"
#include "claims/claim_engine.h"
#include "standin/platform_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace lycheefield {

/// What goes wrong with one call to the store.
enum class CallFault : std::uint8_t {
    None,
    Refused, ///< Nothing was written, and the caller is told so.
    AnswerLost, ///< It took effect; the caller hears that the answer was lost.
    RequestLost, ///< It never took effect; the caller hears that the answer was lost.
    LandsLate, ///< The caller hears that the answer was lost, and it takes effect after a later read.
    Slow,
};

constexpr CallFault allCallFaults[] = { CallFault::Refused, CallFault::AnswerLost, CallFault::RequestLost, CallFault::LandsLate, CallFault::Slow };

/// Several instances' claim engines on one store, in virtual time, with faults, pauses and restarts.
///
/// A granted request is dispatched at once, runs for a while and has its outcome recorded; a request in
/// `refused` is turned away by its backend server and released. The world counts runs for each key.
class ClaimWorld {
public:
    struct Attempt {
        RequestId request;
        std::size_t instance = 0;
        std::string key;
        Fingerprint fingerprint;
        TimePoint deadline;
        TimePoint decidedAt {};
        std::optional<ClaimDecided> decided;
        int decisions = 0;
        bool ran = false;
    };

    explicit ClaimWorld(std::size_t instances, const ClaimSettings& = {}, std::uint64_t seed = 1);

    /// Sends a request to an instance; returns its number in `attempts`.
    std::size_t claim(std::size_t instance, const std::string& key, std::uint64_t content = 1, Duration deadline = 1s);
    /// As a hard stop: the instance's calls under way still reach the store, its memory is gone.
    void restart(std::size_t instance);
    /// Restarts the instance with other settings, as a rolling change of them does.
    void restartWith(std::size_t instance, const ClaimSettings&);
    /// Events reach the instance only after the pause.
    void pause(std::size_t instance, Duration);

    void run(Duration);
    /// Runs at a time from now.
    void after(Duration, std::function<void()>);
    TimePoint now() const { return m_now; }

    std::size_t storeCalls() const { return m_storeCalls; }
    ClaimEngine& engine(std::size_t instance) { return *m_instances[instance].engine; }
    standin::PlatformStore& store() { return m_store; }
    const std::vector<Attempt>& attempts() const { return m_attempts; }
    std::optional<ClaimVerdict> verdict(std::size_t attempt) const;

    /// What was seen to break a promise; empty when nothing did.
    std::vector<std::string> violations() const;

    /// Called with the number of each call to the store, from 0.
    std::function<CallFault(std::size_t)> faultOf = [](std::size_t) { return CallFault::None; };
    /// True when the backend server refuses the attempt before it runs.
    std::function<bool(std::size_t)> isRefused = [](std::size_t) { return false; };
    Duration callTime = 1ms; ///< Each way.
    Duration runTime = 3ms;
    Duration refusalTime = 1ms;
    Duration lateBy = 30ms;

private:
    struct InstanceState {
        std::unique_ptr<ClaimEngine> engine;
        ProcessLife life;
        std::uint64_t requests = 0;
        TimePoint pausedUntil {};
        TimePoint wake = never;
    };
    struct Event {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> run;
        bool operator>(const Event& other) const { return at != other.at ? at > other.at : number > other.number; }
    };

    void start(std::size_t instance, const ClaimSettings&);
    void at(TimePoint, std::function<void()>);
    /// Runs at the time, or after the pause, if the instance is still in the same life.
    void deliver(std::size_t instance, TimePoint, std::function<void()>);
    void execute(std::size_t instance, const ClaimActions&);
    void call(std::size_t instance, StoreCallId, const std::function<standin::PlatformAnswer(TimePoint)>&, bool isWrite);
    void onDecided(std::size_t instance, const ClaimDecided&);
    void finish(std::size_t instance, std::size_t attempt);
    void setTimer(std::size_t instance);

    ClaimSettings m_settings;
    SeededRandom m_random;
    standin::PlatformStore m_store;
    TimePoint m_now { 1s };
    std::uint64_t m_events = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_queue;
    std::vector<InstanceState> m_instances;
    std::vector<Attempt> m_attempts;
    std::map<RequestId, std::size_t> m_byRequest;
    std::size_t m_storeCalls = 0;
};

}
