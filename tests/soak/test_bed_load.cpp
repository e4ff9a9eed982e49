#include "open_descriptors.h"
#include "soak_test_bed.h"

#include <algorithm>
#include <ctime>
#include <iostream>
#include <utility>

namespace lycheefield::soak {

using namespace std::chrono_literals;

namespace {

constexpr Duration loopPeriod = 50ms;
constexpr Duration descriptorsPeriod = 100ms;
constexpr std::size_t fewFreeDescriptors = 16;

/// Returns the processor time that the test bed has used, which has one thread.
Duration processorTime()
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC));
}

std::string milliseconds(Duration time)
{
    return std::to_string(time / 1ms) + " ms";
}

}

void SoakTestBed::watchLoop(TimePoint dueAt)
{
    const auto now = m_clock.now();
    const auto used = processorTime();
    // Little processor time tells that the test bed waited for a processor, much that its own work took so long.
    if (m_lateness.onTimer(dueAt, now))
        logEvent("test bed late", milliseconds(now - dueAt) + ", of them at work " + milliseconds(used - m_processorTime));
    m_processorTime = used;
    const auto next = m_clock.now() + loopPeriod;
    runAfter(loopPeriod, [this, next] { watchLoop(next); });
}

void SoakTestBed::watchDescriptors()
{
    for (const auto& it : m_nodes) {
        // Between fork and exec the child still has the descriptors of the test bed.
        const auto open = it->process->isRunning() && it->process->holdsOrCatchesSignals() ? openDescriptors(it->process->pid()) : std::nullopt;
        if (!open)
            continue;
        it->peakDescriptors = std::max(it->peakDescriptors, *open);
        const bool isDisturbed = !isUndisturbed(*it) || !it->isExpectedToRun;
        if (!isDisturbed)
            it->peakUndisturbedDescriptors = std::max(it->peakUndisturbedDescriptors, *open);
        const bool hasFew = *open + fewFreeDescriptors > maxDescriptors;
        if (hasFew != std::exchange(it->hasFewDescriptors, hasFew))
            logEvent(hasFew ? "few free descriptors" : "free descriptors again", it->process->name() + ", " + std::to_string(*open) + " open" + (isDisturbed ? ", disturbed" : ""));
    }
    runAfter(descriptorsPeriod, [this] { watchDescriptors(); });
}

void SoakTestBed::printSummary() const
{
    std::cout << "seed=" << m_settings.seed << " requests=" << m_lastRequestNumber << " answered=" << m_checker.answers() << " served=" << m_checker.successes()
              << " checks=" << m_checker.checks() << " broken=" << m_checker.violations().size() << '\n';
    std::cout << "  test bed late: " << m_lateness.count() << " times, greatest lateness " << milliseconds(m_lateness.greatest()) << '\n';
    for (const auto& it : m_nodes) {
        std::cout << "  open descriptors of " << it->process->name() << ": peak " << it->peakDescriptors << ", while undisturbed " << it->peakUndisturbedDescriptors
                  << ", limit " << maxDescriptors << '\n';
    }
    for (const auto& [name, n] : m_faults)
        std::cout << "  fault " << name << ": " << n << '\n';
    for (const auto& [violation, n] : m_checker.violations())
        std::cout << "  BROKEN " << n << " times: " << violation << '\n';
}

}
