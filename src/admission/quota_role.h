#pragma once

#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <string_view>

namespace lycheefield {

/// What an instance does for the quota of a team.
enum class QuotaRole : std::uint8_t {
    None,
    Keeper, ///< Grants the permits of the team's quota.
    Standby, ///< Grants a part of the slack to instances that don't reach the keeper.
};

std::string_view toString(QuotaRole);

/// A role for one team. At most one process has it at any time.
struct TeamRole {
    TeamName team;
    QuotaRole role = QuotaRole::None;

    friend auto operator<=>(const TeamRole&, const TeamRole&) = default;
};

/// What is left of a quota's bucket when its role passes to another instance.
struct QuotaCredit {
    double level = 0; ///< Permits in the bucket.
    std::uint32_t outstanding = 0; ///< Permits that have been granted ahead and may still be used.

    friend bool operator==(const QuotaCredit&, const QuotaCredit&) = default;
};

}
