#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "load/load_plan.h"
#include "load/observation.h"

#include <memory>
#include <vector>

namespace lycheefield {

/// Runs the open-loop load of a plan: each request is sent at its intended time however slow the answers are,
/// and its latency is measured from that time.
class LoadRunner {
public:
    /// Precondition: the plan has at least one side with a target, and one class.
    LoadRunner(LoadPlan, const Clock&);
    ~LoadRunner();
    LoadRunner(const LoadRunner&) = delete;
    LoadRunner& operator=(const LoadRunner&) = delete;

    /// Runs the whole plan on the calling thread and returns the observations, without those of warm-ups. A resent
    /// order has one observation, of its first call; the history holds every call.
    std::vector<Observation> run();
    /// Returns false when the history could not be written. Precondition: run() has returned.
    bool isHistoryWritten() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
