#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "forward/forward_request.h"
#include "http/http_message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheefield {

/// Asks another instance to ask some shards of a search next to their servers and to merge the
/// parts, so that one small answer crosses between the zones in place of every part.
struct SearchCall {
    std::uint64_t sequence = 0; ///< Unique within the calling process.
    std::uint64_t tableVersion = 0; ///< The other instance must have this version in force.
    std::string route;
    std::vector<ServiceName> shards; ///< Those of the route's that are asked for.
    std::string attemptId;
    HttpRequest message;
    TimePoint deadline = never;
    TimePoint answerBy = never; ///< When the answer should leave, so that the caller has it in time.

    friend bool operator==(const SearchCall&, const SearchCall&) = default;
};

enum class SearchNoteKind : std::uint8_t {
    Taken, ///< The search runs: wait for its reply.
    Declined, ///< It was not begun.
    Cancelled, ///< Its caller has left.
    ExtraAttemptsRequested, ///< Some shards are late: may they be sent to a second server?
    ExtraAttemptsGranted, ///< They may: the caller has not taken them back and will not.
};

struct SearchNote {
    std::uint64_t sequence = 0;
    SearchNoteKind kind = SearchNoteKind::Taken;
    std::vector<std::uint32_t> positions {}; ///< In the call's shards; with ExtraAttemptsRequested.

    friend bool operator==(const SearchNote&, const SearchNote&) = default;
};

/// The end of a search that was taken.
struct SearchReply {
    std::uint64_t sequence = 0; ///< Of the call.
    ForwardAnswer answer;

    friend bool operator==(const SearchReply&, const SearchReply&) = default;
};

}
