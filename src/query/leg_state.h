#pragma once

#include "base/leg.h"
#include "base/time.h"
#include "catalog/shard_map.h"
#include "query/answer.h"
#include "query/leg_class.h"
#include "query/server_record.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace lycheefield {

/// One request for one leg to one server.
struct Attempt {
    AttemptNumber number;
    ServerRecord* server = nullptr;
    InstanceName relay;
    LegClass* legClass = nullptr;
    TimePoint sentAt {};
    std::uint64_t sequence = 0; ///< The place in the order of all attempts of this engine.
    bool isHedge = false;
    bool isOpen = true; ///< True while the result is awaited.
    TimePoint notHeldAt = never; ///< When the relay responded that it does not hold the server; the server then got no request.
};

/// State of one leg of a query: its attempts and how they ended.
struct LegState {
    const Shard* shard = nullptr;
    std::vector<Attempt> attempts;
    std::vector<const ServerRecord*> replicasLackingSnapshot; ///< Replicas that no longer serve the pinned version or epoch.
    std::optional<ShardAnswer> answer;
    std::optional<LegOutcome> lastOutcome; ///< Of the last attempt that ended without an answer.
    bool isOpen = true; ///< True until the leg is answered or given up.
    std::string reason; ///< Why the leg was closed without an answer.

    /// Returns the attempt of that number if its result is awaited, otherwise null.
    Attempt* findOpen(AttemptNumber number)
    {
        for (auto& it : attempts) {
            if (it.isOpen && it.number == number)
                return &it;
        }
        return nullptr;
    }
    bool hasOpenAttempt() const
    {
        for (const auto& it : attempts) {
            if (it.isOpen)
                return true;
        }
        return false;
    }
    bool lacksSnapshotAt(const ServerRecord* server) const { return std::find(replicasLackingSnapshot.begin(), replicasLackingSnapshot.end(), server) != replicasLackingSnapshot.end(); }
    bool wasAttemptedAt(const ServerRecord* server) const
    {
        for (const auto& it : attempts) {
            if (it.server == server && it.notHeldAt == never)
                return true;
        }
        return false;
    }
    /// Returns true while it is too early to send that relay another attempt for the server.
    bool isNotHeldBy(const InstanceName& relay, const ServerRecord* server, TimePoint now) const
    {
        for (const auto& it : attempts) {
            if (it.notHeldAt != never && it.server == server && it.relay == relay && now < it.notHeldAt + reroutePause())
                return true;
        }
        return false;
    }
    std::size_t notHeldCount() const
    {
        return static_cast<std::size_t>(std::count_if(attempts.begin(), attempts.end(), [](const auto& it) { return it.notHeldAt != never; }));
    }
    /// Returns how long to wait for the instances' views to agree on who holds a server. The pause doubles
    /// with each round of attempts through the owners and standbys of two replicas.
    Duration reroutePause() const
    {
        constexpr Duration initialPause = std::chrono::milliseconds(10);
        constexpr std::size_t attemptsPerRound = 4;
        constexpr std::size_t maxDoublings = 4;
        const auto n = notHeldCount();
        return initialPause * (1 << std::min(n == 0 ? 0 : (n - 1) / attemptsPerRound, maxDoublings));
    }
};

}
