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

/// One try of a leg at one server.
struct Attempt {
    AttemptNumber number;
    ServerRecord* server = nullptr;
    InstanceName relay;
    LegClass* legClass = nullptr;
    TimePoint sentAt {};
    bool isHedge = false;
    bool isOpen = true; ///< Its result is still awaited.
    TimePoint notHeldAt = never; ///< When its relay said that it does not hold the server: the server was not asked.
};

/// What the entry knows of one leg of a query: every try, and how it ended.
struct LegState {
    const Shard* shard = nullptr;
    std::vector<Attempt> attempts;
    std::vector<const ServerRecord*> replicasLackingSnapshot; ///< Replicas that no longer serve the pinned version or epoch.
    std::optional<ShardAnswer> answer;
    std::optional<LegOutcome> lastOutcome; ///< Of the try that ended last without an answer.
    bool isOpen = true; ///< Neither answered nor given up.
    std::string reason; ///< Why there is no answer, once it is closed without one.

    /// The try of that number whose result is awaited, or null.
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
    /// True while it is too early to ask that relay for that server again.
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
    /// How long views that disagree on who holds a server get to agree. It doubles with each round
    /// of the owners and standbys of two replicas.
    Duration reroutePause() const
    {
        constexpr Duration firstPause = std::chrono::milliseconds(10);
        constexpr std::size_t attemptsPerRound = 4;
        constexpr std::size_t maxDoublings = 4;
        const auto n = notHeldCount();
        return firstPause * (1 << std::min(n == 0 ? 0 : (n - 1) / attemptsPerRound, maxDoublings));
    }
};

}
