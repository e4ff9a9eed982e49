#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "forward/forward_request.h"
#include "http/http_message.h"
#include "routing/search_limits.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheefield {

/// Delegates some shards of a search to an instance in the zone of their servers. The delegate merges
/// their responses, so that one small answer crosses between the zones instead of every response.
struct SearchCall {
    std::uint64_t sequence = 0; ///< Unique within the calling process.
    std::uint64_t tableVersion = 0; ///< Routing table version of the calling instance. The delegate may have another one in force.
    std::string route;
    SearchLimits limits; ///< Of the route in the calling instance's table. A delegate whose route has others declines.
    std::vector<ServiceName> shards; ///< The shards of the route that are delegated.
    std::string attemptId;
    HttpRequest message;
    TimePoint deadline = never;
    TimePoint answerBy = never; ///< When the delegate should send its answer, so that the caller's answer is in time.
    Fingerprint content; ///< Of the request, see contentOf().
    TeamName team; ///< Of the caller; empty when there is none.
    std::uint32_t teamRank = 0; ///< The team's priority.

    friend bool operator==(const SearchCall&, const SearchCall&) = default;
};

enum class SearchNoteKind : std::uint8_t {
    Taken, ///< The delegate runs the search; a SearchReply follows.
    Declined, ///< The delegate did not start the search.
    Cancelled, ///< The calling instance cancels the search, such as when its caller disconnected.
    ExtraAttemptsRequested, ///< Some shards are late; the delegate requests extra attempts for them.
    ExtraAttemptsGranted, ///< The calling instance grants them; it has not reclaimed the shards and will not.
};

struct SearchNote {
    std::uint64_t sequence = 0;
    SearchNoteKind kind = SearchNoteKind::Taken;
    std::vector<std::uint32_t> positions {}; ///< Indexes into the call's shards; only with ExtraAttemptsRequested.

    friend bool operator==(const SearchNote&, const SearchNote&) = default;
};

/// Final answer to a SearchCall that the delegate took.
struct SearchReply {
    std::uint64_t sequence = 0; ///< Sequence of the call.
    ForwardAnswer answer;

    friend bool operator==(const SearchReply&, const SearchReply&) = default;
};

}
