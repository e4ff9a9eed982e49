#include "admission/quota_engine.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::size_t allocations = 0;

}

void* operator new(std::size_t size)
{
    ++allocations;
    if (auto* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

using namespace lycheefield;

/// Prints the memory that an instance uses for each team, and the time and allocations of an admission from a permit that it holds.
int main()
{
    constexpr std::size_t teamCount = 10'000;
    constexpr std::size_t instanceCount = 510;
    constexpr std::uint32_t permitsPerTeam = 300;
    std::vector<Team> teams;
    for (std::size_t i = 0; i < teamCount; ++i)
        teams.push_back({ TeamName("team-" + std::to_string(i)), 0, 1e6, 1e6 });
    std::vector<Instance> instances;
    for (std::size_t i = 0; i < instanceCount; ++i) {
        Instance instance;
        instance.name = InstanceName("n" + std::to_string(i));
        instances.push_back(instance);
    }
    const TimePoint now(std::chrono::seconds(100));
    QuotaActions actions;
    QuotaEngine engine(InstanceName("n0"), {}, 1);
    const auto memoryBefore = mallinfo2().uordblks;
    engine.setTeams(teams, now, actions);
    const auto rankingFrom = std::chrono::steady_clock::now();
    engine.setInstances({ instances, { 1, 1 }, true, true, true, now, now + std::chrono::minutes(3) }, now, actions);
    const std::chrono::duration<double> rankingTime = std::chrono::steady_clock::now() - rankingFrom;
    std::printf("first list of %zu instances: %.1f ms\n", instanceCount, rankingTime.count() * 1e3);

    std::uint64_t requests = 0;
    for (const auto& it : teams) {
        actions.clear();
        engine.onRequest(RequestNumber(++requests), it.name, now, actions);
        const auto* asked = actions.empty() ? nullptr : std::get_if<AskKeeper>(&actions.back());
        if (!asked)
            continue;
        const QuotaReply reply { asked->call.sequence, { { it.name, permitsPerTeam, std::chrono::hours(1), {} } } };
        const auto keeper = asked->instance;
        actions.clear();
        engine.onReply(keeper, reply, now, actions);
    }
    const auto memory = mallinfo2().uordblks - memoryBefore;
    std::printf("memory: %.0f B a team\n", static_cast<double>(memory) / teamCount);

    actions.clear();
    actions.reserve(4);
    std::size_t admitted = 0;
    const auto allocationsBefore = allocations;
    const auto from = std::chrono::steady_clock::now();
    constexpr std::size_t calls = 1'000'000;
    for (std::size_t i = 0; i < calls; ++i) {
        actions.clear();
        engine.onRequest(RequestNumber(++requests), teams[i * 7919 % teamCount].name, now, actions);
        admitted += actions.size() == 1 && std::holds_alternative<AdmitRequest>(actions[0]) ? 1 : 0;
    }
    const std::chrono::duration<double> time = std::chrono::steady_clock::now() - from;
    std::printf("admission: %.0f ns, %.4f allocations, %.4f admitted\n", time.count() / calls * 1e9, static_cast<double>(allocations - allocationsBefore) / calls, static_cast<double>(admitted) / calls);
}
