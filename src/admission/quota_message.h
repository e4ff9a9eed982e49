#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <vector>

namespace lycheefield {

/// The requests of one team that an instance wants to admit. In a call, a second wish directly after another one of the same team asks
/// ahead, for requests that are still to come; the team gets one grant for both.
struct QuotaWish {
    TeamName team;
    std::uint32_t requests = 0;
    bool isForKeeper = false; ///< An instance that only stands by answers as if it didn't know the team.

    friend bool operator==(const QuotaWish&, const QuotaWish&) = default;
};

/// Asks the instance that keeps the quotas of these teams for permits.
struct QuotaCall {
    std::uint64_t sequence = 0; ///< Unique within the calling process.
    std::vector<QuotaWish> wishes;

    friend bool operator==(const QuotaCall&, const QuotaCall&) = default;
};

/// Permits of one team. They come from the team's quota and are used by the receiver only.
struct QuotaGrant {
    TeamName team;
    std::uint32_t permits = 0;
    Duration lifetime {}; ///< Permits that are not used within this time, counted from the sending of the call, are lost.
    Duration retryAfter {}; ///< Time until more may be granted; zero when all waiting requests got a permit.

    friend bool operator==(const QuotaGrant&, const QuotaGrant&) = default;
};

/// The answer to a QuotaCall. A team without a grant is not kept by the sender.
struct QuotaReply {
    std::uint64_t sequence = 0; ///< Of the call.
    std::vector<QuotaGrant> grants;

    friend bool operator==(const QuotaReply&, const QuotaReply&) = default;
};

}
