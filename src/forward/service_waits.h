#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "forward/fair_queue.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace lycheefield {

/// Estimates how long a leg waits for the servers of its service and runs there, from the times of this instance's own attempts.
///
/// While legs wait, every attempt that ends lets the next one go. So the legs ahead take as long as the attempts that are in
/// flight need for them together. There is no estimate without recent responses: a guess would refuse requests that could be
/// served. More urgent legs that arrive later go first as well; how much longer the legs of a priority waited for that is observed.
/// One entry for each service that was sent an attempt, with one for each pair of priorities that waited. Not thread safe.
class ServiceWaits {
public:
    void recordSent(const ServiceName&);
    /// Records the end of an attempt; has no effect when none is in flight, as after the server was listed for another service.
    void recordEnd(const ServiceName&);
    /// Records the time from an attempt's start to its response.
    void recordServed(const ServiceName&, Duration, TimePoint);
    /// Records that a leg was sent after it had waited, and for how long it should have by the legs ahead of it; see expectedWait().
    void recordWait(const ServiceName&, const LegPriority&, Duration expectedWait, Duration wait, TimePoint);
    /// Returns the time that the legs ahead need, without those that arrive later; zero when it is unknown.
    Duration expectedWait(const ServiceName&, std::size_t ahead, TimePoint) const;
    /// Returns the expected time until a leg with so many others ahead of it is served; nullopt when it is unknown.
    std::optional<Duration> expected(const ServiceName&, const LegPriority&, std::size_t ahead, TimePoint) const;
    /// Discards the services that have no attempt in flight and for which the predicate returns false.
    void keepOnly(const std::function<bool(const ServiceName&)>&);

private:
    /// How many times as long as expected the legs of a pair of priorities waited.
    struct Delay {
        double factor = 1; ///< Smoothed.
        TimePoint lastAt {};
    };
    struct Service {
        std::uint32_t inFlight = 0;
        std::uint32_t samples = 0; ///< Up to the number that an estimate needs.
        double meanMicros = 0; ///< Smoothed.
        TimePoint lastAt {};
        std::map<LegPriority, Delay> delays;
    };
    std::unordered_map<ServiceName, Service> m_services;
};

}
