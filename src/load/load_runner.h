#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "load/load_plan.h"
#include "load/observation.h"

#include <memory>
#include <vector>

namespace lycheefield {

/// Sends a plan's load, open loop: requests go out at their intended times however slow the answers
/// are, and an answer's latency counts from there.
class LoadRunner {
public:
    /// Precondition: the plan has at least one side with a target, and one class.
    LoadRunner(LoadPlan, const Clock&);
    ~LoadRunner();
    LoadRunner(const LoadRunner&) = delete;
    LoadRunner& operator=(const LoadRunner&) = delete;

    /// Runs the whole plan on the calling thread and returns what was seen, warm-ups left out. An order that
    /// is sent again is observed once, by its first attempt; the history holds every attempt.
    std::vector<Observation> run();
    /// False when the history could not be written. Precondition: run() has returned.
    bool isHistoryWritten() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
