#include "soak_test_bed.h"

namespace lycheefield::soak {

using namespace std::chrono_literals;

namespace {

constexpr Duration minDelay = 500ms;
constexpr Duration maxDelay = 8s;
/// Longer than the limits on configuration and drains, so that a fault is active before a change and until it must be in force.
constexpr Duration minFaultTime = 3s;
constexpr Duration maxFaultTime = 15s;
constexpr Duration maxPause = 8s;

}

std::vector<SoakTestBed::PeerPair> SoakTestBed::peerPairs(const Node* node) const
{
    std::vector<PeerPair> pairs;
    for (const auto& from : m_nodes) {
        for (const auto& to : m_nodes) {
            const bool isWanted = !node || from.get() == node || to.get() == node;
            if (from != to && isWanted)
                pairs.emplace_back(from.get(), to.get());
        }
    }
    return pairs;
}

void SoakTestBed::applyPeerFault(const std::vector<PeerPair>& pairs, Duration time, const std::function<LinkFaults()>& draw)
{
    Duration longestDelay {};
    std::vector<PeerPair> harmed;
    for (const auto& [from, to] : pairs) {
        const auto faults = draw();
        if (!m_harmedPairs.emplace(from, to).second)
            continue;
        harmed.emplace_back(from, to);
        longestDelay = std::max(longestDelay, faults.delay);
        m_peerLinks.setFaults(from->process->name(), to->process->name(), faults);
        ++from->peerFaults;
        ++to->peerFaults;
    }
    runAfter(time, [this, harmed, longestDelay] {
        for (const auto& [from, to] : harmed) {
            m_harmedPairs.erase({ from, to });
            m_peerLinks.setFaults(from->process->name(), to->process->name(), {});
            for (auto* it : { from, to }) {
                --it->peerFaults;
                // What is on its way still arrives late.
                it->peersDisturbedUntil = std::max(it->peersDisturbedUntil, m_clock.now() + longestDelay);
            }
        }
    });
}

void SoakTestBed::resetPeerLinks(const Node* node)
{
    for (const auto& [from, to] : peerPairs(node)) {
        m_peerLinks.reset(from->process->name(), to->process->name());
        for (auto* it : { from, to })
            it->peersDisturbedUntil = std::max(it->peersDisturbedUntil, m_clock.now());
    }
}

void SoakTestBed::injectPeerFault()
{
    runAfter(randomDuration(500ms, maxPause), [this] { injectPeerFault(); });
    if (!m_isInjectingPeerFaults || m_nodes.size() < 2)
        return;
    const auto time = randomDuration(minFaultTime, maxFaultTime);
    const auto* node = m_nodes[m_random.below(m_nodes.size())].get();
    const auto delay = randomDuration(minDelay, maxDelay);
    const auto pairs = peerPairs();
    const auto detail = node->process->name() + ", delay " + std::to_string(delay / 1ms) + " ms, for " + std::to_string(time / 1ms) + " ms";
    switch (m_random.below(12)) {
    case 0:
    case 1:
        countFault("links of one gateway delayed", detail);
        return applyPeerFault(peerPairs(node), time, [&] { return LinkFaults { .delay = delay }; });
    case 2:
    case 3:
        countFault("all links between gateways delayed", detail);
        return applyPeerFault(pairs, time, [&] { return LinkFaults { .delay = delay }; });
    case 4:
    case 5:
        countFault("some links between gateways delayed", detail);
        return applyPeerFault(pairs, time, [&] { return m_random.below(2) == 0 ? LinkFaults {} : LinkFaults { .delay = randomDuration(minDelay, maxDelay) }; });
    case 6:
    case 7:
        countFault("one link between gateways delayed", detail);
        return applyPeerFault({ pairs[m_random.below(pairs.size())] }, time, [&] { return LinkFaults { .delay = delay }; });
    case 8:
        countFault("links of one gateway held one way", detail);
        return applyPeerFault(peerPairs(node), time, [isForward = m_random.below(2) == 0] { return LinkFaults { .blocksForward = isForward, .blocksBackward = !isForward }; });
    case 9:
        countFault("links of one gateway held", detail);
        return applyPeerFault(peerPairs(node), time, [] { return LinkFaults { .blocksForward = true, .blocksBackward = true }; });
    case 10:
        countFault("links of one gateway refuse", detail);
        resetPeerLinks(node);
        return applyPeerFault(peerPairs(node), time, [] { return LinkFaults { .refusesConnections = true }; });
    default:
        countFault("links of one gateway reset", detail);
        resetPeerLinks(node);
    }
}

}
