#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lycheefield {

/// A team's priority and quota, as configured. Immutable.
struct Team {
    TeamName name;
    std::uint32_t rank = 0; ///< Priority; 0 is the most urgent. It goes before the rank of a route.
    double ratePerSecond = 0; ///< Requests per second that all instances together admit; 0: no limit.
    double burst = 0; ///< Requests beyond the rate that may come at once after a pause.

    bool hasQuota() const { return ratePerSecond > 0; }

    friend bool operator==(const Team&, const Team&) = default;
};

/// A team and the API keys that identify its callers.
struct TeamKeys {
    Team team;
    std::vector<std::string> keys;

    friend bool operator==(const TeamKeys&, const TeamKeys&) = default;
};

/// All teams of one configuration version, found by API key. Immutable, and therefore safe to share between threads.
///
/// The directory keeps digests of the keys, not the keys. A key that several teams hold identifies none of them.
class TeamDirectory {
public:
    /// Empty keys are left out: a caller without a key has the empty one.
    explicit TeamDirectory(const std::vector<TeamKeys>&);

    /// Returns the team that holds the key; null when none or more than one does. The time that this takes does not tell how much of
    /// a key is right.
    const Team* findByKey(std::string_view key) const;
    /// Returns the team of that name; null when there is none.
    const Team* find(const TeamName&) const;
    const std::vector<Team>& teams() const { return m_teams; }
    /// Keys that are held by several teams and so identify none.
    std::size_t ambiguousKeys() const { return m_ambiguousKeys; }

    friend bool operator==(const TeamDirectory&, const TeamDirectory&) = default;

private:
    /// A hash of a key under a random seed of this process.
    struct KeyDigest {
        std::uint64_t low = 0;
        std::uint64_t high = 0;

        friend bool operator==(const KeyDigest&, const KeyDigest&) = default;
    };
    struct KeyDigestHash {
        std::size_t operator()(const KeyDigest& digest) const { return digest.low; }
    };
    static constexpr std::size_t noTeam = static_cast<std::size_t>(-1);

    static KeyDigest digestOf(std::string_view key);

    std::vector<Team> m_teams;
    std::unordered_map<KeyDigest, std::size_t, KeyDigestHash> m_byKey; ///< Positions in m_teams; noTeam for an ambiguous key.
    std::unordered_map<TeamName, std::size_t> m_byName;
    std::size_t m_ambiguousKeys = 0;
};

}
