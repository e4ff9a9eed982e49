#pragma once

#include "base/time.h"

#include <cstdint>
#include <memory>

namespace lycheefield {

/// Estimates quantiles of a stream of durations in constant memory (Boost.Accumulators). Thread safe.
class LatencySummary {
public:
    LatencySummary();
    ~LatencySummary();
    LatencySummary(const LatencySummary&) = delete;
    LatencySummary& operator=(const LatencySummary&) = delete;

    void add(Duration);

    struct Values {
        std::uint64_t count = 0;
        Duration sum {};
        Duration p50 {};
        Duration p90 {};
        Duration p99 {};
        Duration p999 {};

        friend bool operator==(const Values&, const Values&) = default;
    };
    Values values() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
