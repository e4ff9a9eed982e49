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

/// The fault of one call to the store.
enum class CallFault : std::uint8_t {
    None,
    Refused, ///< The store refuses the call, and the call never takes effect.
    ResponseLost, ///< The call takes effect, but its response is lost.
    RequestLost, ///< The call never takes effect; the caller sees a lost response.
    AppliedLate, ///< The caller sees a lost response, and the write takes effect `lateDelay` after the call.
    Slow, ///< The call takes effect, and the response starts, `lateDelay` after the call.
};

constexpr CallFault allCallFaults[] = { CallFault::Refused, CallFault::ResponseLost, CallFault::RequestLost, CallFault::AppliedLate, CallFault::Slow };

/// Claim engines of several instances on one store with a virtual clock, faults, pauses and restarts.
///
/// A granted request is dispatched at once, runs for `runTime` and has its outcome recorded. A request for which
/// `isRefused` returns true is refused by its backend server, and its key is released.
class ClaimTestBed {
public:
    /// A claim and what the test bed observed of the claim.
    struct TrackedClaim {
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

    explicit ClaimTestBed(std::size_t instances, const ClaimSettings& = {}, std::uint64_t seed = 1);

    /// Sends a request to an instance; returns the request's index in trackedClaims().
    std::size_t claim(std::size_t instance, const std::string& key, std::uint64_t content = 1, Duration deadline = 1s);
    /// Kills and restarts an instance: its calls in flight still reach the store, and its memory is lost.
    void restart(std::size_t instance);
    /// Restarts an instance with other settings, as during a rolling change of the settings.
    void restartWith(std::size_t instance, const ClaimSettings&);
    /// Pauses an instance: events reach the instance only after the pause.
    void pause(std::size_t instance, Duration);

    /// Advances the virtual clock and runs the events that are due.
    void run(Duration);
    /// Schedules a function to run after a delay.
    void after(Duration, std::function<void()>);
    TimePoint now() const { return m_now; }

    std::size_t storeCalls() const { return m_storeCalls; }
    ClaimEngine& engine(std::size_t instance) { return *m_instances[instance].engine; }
    standin::PlatformStore& store() { return m_store; }
    const std::vector<TrackedClaim>& trackedClaims() const { return m_trackedClaims; }
    /// Verdict of a claim; nullopt while the claim is undecided.
    std::optional<ClaimVerdict> verdict(std::size_t number) const;

    /// Descriptions of the violated guarantees; empty when there is none.
    std::vector<std::string> violations() const;

    /// Returns the fault of a call to the store, by the number of the call, from 0.
    std::function<CallFault(std::size_t)> faultOf = [](std::size_t) { return CallFault::None; };
    /// Returns true when the backend server refuses the request, by its index in trackedClaims().
    std::function<bool(std::size_t)> isRefused = [](std::size_t) { return false; };
    Duration callTime = 1ms; ///< Time of a call to the store, for each direction.
    Duration runTime = 3ms; ///< From the grant to the outcome.
    Duration refusalTime = 1ms; ///< From the grant to the backend server's refusal.
    Duration lateDelay = 30ms; ///< See CallFault.

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
    /// Schedules a function at a time, or at the end of the instance's pause. The function does not run if the
    /// instance was restarted in between.
    void deliver(std::size_t instance, TimePoint, std::function<void()>);
    void execute(std::size_t instance, const ClaimActions&);
    void call(std::size_t instance, StoreCallId, const std::function<standin::StoreResult(TimePoint)>&, bool isWrite);
    void onDecided(std::size_t instance, const ClaimDecided&);
    void finish(std::size_t instance, std::size_t number);
    void setTimer(std::size_t instance);

    ClaimSettings m_settings;
    SeededRandom m_random;
    standin::PlatformStore m_store;
    TimePoint m_now { 1s };
    std::uint64_t m_events = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_queue;
    std::vector<InstanceState> m_instances;
    std::vector<TrackedClaim> m_trackedClaims;
    std::map<RequestId, std::size_t> m_byRequest;
    std::size_t m_storeCalls = 0;
};

}
