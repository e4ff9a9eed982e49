#include "claims/claim_engine.h"

#include "base/fingerprint.h"
#include "claims/claim_partition.h"

#include <unordered_map>

namespace lycheefield {

namespace {

class PartitionedClaimEngine final : public ClaimEngine {
public:
    PartitionedClaimEngine(const ClaimSettings& settings, std::unique_ptr<RandomSource> random)
    {
        m_context.settings = settings;
        m_context.settings.partitions = std::max(1U, settings.partitions);
        m_context.random = std::move(random);
        for (std::uint32_t i = 0; i < m_context.settings.partitions; ++i)
            m_partitions.push_back(std::make_unique<ClaimPartition>(i, m_context));
    }

    void claim(const ClaimRequest& request, TimePoint now, ClaimActions& actions) override
    {
        ++m_context.counters.claims;
        removeAbandoned(now);
        m_openClaims[request.request] = { request.key, request.deadline };
        const auto firstNew = actions.size();
        partitionOf(request.key).claim(request, now, actions);
        recordDecisions(actions, firstNew);
    }

    void adopt(const ClaimRequest& request) override { m_openClaims.try_emplace(request.request, OpenClaim { request.key, request.deadline }); }

    void recordOutcome(const RequestId& request, RunState state, const std::string& answer, TimePoint now, ClaimActions& actions) override
    {
        ClaimRecord record;
        record.kind = ClaimRecordKind::Outcome;
        record.state = state;
        if (answer.size() <= m_context.settings.maxAnswer.value)
            record.answer = answer;
        settle(request, std::move(record), now, actions);
    }

    void release(const RequestId& request, TimePoint now, ClaimActions& actions) override
    {
        ClaimRecord record;
        record.kind = ClaimRecordKind::Release;
        settle(request, std::move(record), now, actions);
    }

    void onStoreResponse(const StoreResponse& response, TimePoint now, ClaimActions& actions) override
    {
        const auto firstNew = actions.size();
        const auto number = response.call.value() % m_context.settings.partitions;
        m_partitions[number]->onStoreResponse(response, now, actions);
        recordDecisions(actions, firstNew);
    }

    void onTimer(TimePoint now, ClaimActions& actions) override
    {
        const auto firstNew = actions.size();
        for (const auto& it : m_partitions)
            it->onTimer(now, actions);
        recordDecisions(actions, firstNew);
    }

    TimePoint nextWake() const override
    {
        TimePoint next = never;
        for (const auto& it : m_partitions)
            next = std::min(next, it->nextWake());
        return next;
    }

    std::size_t pending() const override
    {
        std::size_t sum = 0;
        for (const auto& it : m_partitions)
            sum += it->pending();
        return sum;
    }

    ClaimCounters counters() const override
    {
        auto counters = m_context.counters;
        for (const auto& it : m_partitions)
            counters.indexedKeys += it->indexedKeys();
        return counters;
    }

private:
    struct OpenClaim {
        IdempotencyKey key;
        TimePoint deadline;
    };

    ClaimPartition& partitionOf(const IdempotencyKey& key) { return *m_partitions[claimPartitionOf(key, m_context.settings)]; }

    /// Frees the memory of requests that were not settled long after their deadline. In the store such a key
    /// stays claimed without an outcome.
    void removeAbandoned(TimePoint now)
    {
        constexpr Duration retention = std::chrono::minutes(10);
        if (now - m_lastSweep < retention)
            return;
        m_lastSweep = now;
        std::erase_if(m_openClaims, [&](const auto& it) { return it.second.deadline < now - retention; });
    }

    /// Queues the outcome or the release of a granted request, which settles the request.
    void settle(const RequestId& request, ClaimRecord record, TimePoint now, ClaimActions& actions)
    {
        const auto it = m_openClaims.find(request);
        if (it == m_openClaims.end())
            return;
        record.key = it->second.key;
        record.token = request;
        m_openClaims.erase(it);
        const auto firstNew = actions.size();
        partitionOf(record.key).addRecord(record, now, actions);
        recordDecisions(actions, firstNew);
    }

    void recordDecisions(const ClaimActions& actions, std::size_t firstNew)
    {
        for (auto i = firstNew; i < actions.size(); ++i) {
            const auto* decided = std::get_if<ClaimDecided>(&actions[i]);
            if (!decided)
                continue;
            count(decided->verdict);
            if (decided->verdict != ClaimVerdict::Granted)
                m_openClaims.erase(decided->request);
        }
    }

    void count(ClaimVerdict verdict)
    {
        auto& counters = m_context.counters;
        switch (verdict) {
        case ClaimVerdict::Granted:
            ++counters.granted;
            return;
        case ClaimVerdict::AlreadyDone:
            ++counters.alreadyDone;
            return;
        case ClaimVerdict::InProgress:
            ++counters.inProgress;
            return;
        case ClaimVerdict::DifferentContent:
            ++counters.differentContent;
            return;
        case ClaimVerdict::StoreUnavailable:
            ++counters.storeUnavailable;
            return;
        }
    }

    ClaimContext m_context;
    std::vector<std::unique_ptr<ClaimPartition>> m_partitions;
    TimePoint m_lastSweep {};
    std::unordered_map<RequestId, OpenClaim> m_openClaims; ///< Undecided claims, and granted ones that are not settled yet.
};

}

std::uint32_t claimPartitionOf(const IdempotencyKey& key, const ClaimSettings& settings)
{
    constexpr std::uint64_t partitionSeed = 1; // Makes this hash independent of the one in the segment index.
    return static_cast<std::uint32_t>(stableHash(key.value(), partitionSeed) % std::max(1U, settings.partitions));
}

std::unique_ptr<ClaimEngine> makeClaimEngine(const ClaimSettings& settings, std::unique_ptr<RandomSource> random)
{
    return std::make_unique<PartitionedClaimEngine>(settings, std::move(random));
}

}
