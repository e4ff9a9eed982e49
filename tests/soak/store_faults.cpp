#include "soak_test_bed.h"

namespace lycheefield::soak {

using namespace std::chrono_literals;

namespace {

const std::vector<std::string> storeFaultNames { "store busy", "store silent", "store sends rubbish", "store drops its history", "store drops its history" };
const std::vector<std::string> storeRubbish { R"({"items\)", R"({"items":[{"meta":7}],"atRev":"x"})", "[[[[", "{}" };
constexpr std::size_t pageSize = 500;
constexpr Duration maxCopyAge = 5s;
/// Time from the store's return from a copy until all has been written again that the copy lacked.
constexpr Duration writeAgainTime = 2s;
/// Writes of other programs that the store loses.
constexpr std::uint64_t maxOtherWrites = 400;
constexpr Duration probePeriod = 200ms;

}

void SoakTestBed::injectStoreFault()
{
    const auto kind = m_random.below(8);
    if (kind >= storeFaultNames.size())
        return loseStoreWrites(randomDuration(100ms, maxCopyAge));
    const auto time = randomDuration(300ms, 5s);
    m_storeDisturbedUntil = never;
    countFault(storeFaultNames.at(kind));
    if (kind < 2)
        m_store.setFaults({ .isBusy = kind == 0, .isSilent = kind == 1, .pageSize = pageSize });
    else if (kind == 2)
        m_store.setFaults({ .rubbish = storeRubbish.at(m_random.below(storeRubbish.size())), .pageSize = pageSize });
    else
        m_store.forgetHistory();
    auto* lapsed = kind < 2 ? lapseEntry() : nullptr;
    runAfter(time, [this, lapsed] {
        m_store.setFaults({ .pageSize = pageSize });
        m_storeDisturbedUntil = m_clock.now();
        if (!lapsed)
            return;
        runAfter(randomDuration(100ms, 1800ms), [this, lapsed] {
            m_lapsedServers.erase(lapsed->name());
            writeEntry(*lapsed);
        });
    });
}

SoakBackend* SoakTestBed::lapseEntry()
{
    // The entry of a server may lapse during an outage; the server registers again soon after the outage.
    auto& server = *m_backends[m_random.below(m_backends.size())];
    if (server.drainDeadline != never || !m_lapsedServers.insert(server.name()).second)
        return nullptr;
    m_writtenServers.insert(server.name());
    m_store.remove("servers", server.name());
    return &server;
}

void SoakTestBed::loseStoreWrites(Duration copyAge)
{
    if (std::exchange(m_isCopySaved, true))
        return;
    m_store.saveCopy();
    m_writtenServers.clear();
    runAfter(copyAge, [this] { restoreStore(); });
}

void SoakTestBed::restoreStore()
{
    if (m_storeDisturbedUntil == never) {
        // The copy ages until the other fault has ended.
        return runAfter(100ms, [this] { restoreStore(); });
    }
    countFault("store comes back from an older copy");
    const bool isInForce = m_clock.now() > m_storeDisturbedUntil + settlingTime && m_clock.now() > m_publishedAt + applyLimit;
    std::vector<Node*> probed;
    for (const auto& it : m_nodes) {
        if (isInForce && isUndisturbed(*it) && it->isExpectedToRun)
            probed.push_back(it.get());
    }
    m_storeDisturbedUntil = never;
    // The users' other programs write objects of their own.
    for (auto n = m_random.below(2) * m_random.below(maxOtherWrites); n > 0; --n)
        m_store.put("others", "object", "{}");
    const auto outage = m_random.below(2) == 0 ? Duration {} : randomDuration(50ms, 1500ms);
    m_store.setFaults({ .isBusy = m_random.below(2) == 0 && outage > Duration {}, .isSilent = false, .pageSize = pageSize });
    runAfter(outage, [this, probed, version = m_version] {
        m_store.setFaults({ .pageSize = pageSize });
        m_store.restoreCopy();
        m_storeRestoredAt = m_clock.now();
        m_isCopySaved = false;
        writeAgain(m_random.below(2) == 0);
        if (m_version == version)
            probeAgainstOlderConfiguration(probed);
    });
}

void SoakTestBed::writeAgain(bool all)
{
    runAfter(randomDuration(100ms, writeAgainTime), [this] { publishConfiguration(); });
    runAfter(randomDuration(100ms, writeAgainTime), [this] {
        for (const auto& it : zones) {
            if (m_drainedZones.contains(it))
                m_store.put("evacuations", it, "{}");
            else if (m_store.contains("evacuations", it))
                m_store.remove("evacuations", it);
        }
    });
    for (const auto& it : m_backends) {
        if (!all && !m_writtenServers.contains(it->name()))
            continue;
        runAfter(randomDuration(100ms, writeAgainTime), [this, server = it.get()] {
            if (!m_lapsedServers.contains(server->name()))
                writeEntry(*server);
        });
    }
    runAfter(writeAgainTime, [this] { m_storeDisturbedUntil = m_clock.now(); });
}

void SoakTestBed::probeAgainstOlderConfiguration(const std::vector<Node*>& nodes)
{
    const auto added = m_version;
    for (auto* node : nodes) {
        for (Duration time {}; time < writeAgainTime; time += probePeriod) {
            runAfter(time, [this, node, added, dropped = m_previousVersion, disturbedUntil = node->disturbedUntil] {
                // A process that has started since then knows no more than the store.
                if (m_version != added || node->disturbedUntil != disturbedUntil || !node->isExpectedToRun)
                    return;
                probeConfiguration("probe while the store holds an older configuration", *node, added, dropped);
            });
        }
    }
}

}
