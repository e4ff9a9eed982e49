#include "soak_test_bed.h"

namespace lycheefield::soak {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t minSearches = 20;
constexpr std::uint64_t maxSearches = 120;
constexpr Duration minBurstTime = 20ms;
constexpr Duration maxBurstTime = 1s;
/// Between bursts that follow each other; shorter than a gateway keeps idle connections to servers.
constexpr Duration maxPause = 2s;
constexpr Duration minWork = 100ms;
constexpr Duration maxWork = 800ms;

}

void SoakTestBed::burstSearches(Node& node, std::uint64_t times)
{
    if (times == 0 || !m_isSending)
        return;
    const auto searches = minSearches + m_random.below(maxSearches - minSearches + 1);
    const auto time = randomDuration(minBurstTime, maxBurstTime);
    const bool isSlow = m_random.below(2) == 0;
    countFault(isSlow ? "burst of searches while servers are slow" : "burst of searches",
        node.process->name() + ", " + std::to_string(searches) + " in " + std::to_string(time / 1ms) + " ms");
    if (isSlow)
        slowDownServers(time + maxWork);
    for (auto n = searches; n > 0; --n) {
        runAfter(randomDuration(0ms, time), [this, &node] {
            if (m_isSending)
                sendRequest(node, newRequest(node, true, "/s/"));
        });
    }
    runAfter(time + randomDuration(0ms, maxPause), [this, &node, times] { burstSearches(node, times - 1); });
}

void SoakTestBed::slowDownServers(Duration time)
{
    for (const auto& it : m_backends) {
        if (m_random.below(2) == 0)
            continue;
        it->setFaults({ randomDuration(minWork, maxWork), 0, 0, 0 });
        runAfter(time, [server = it.get()] { server->setFaults({}); });
    }
}

}
