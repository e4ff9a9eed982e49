#pragma once

#include <cstdint>

namespace lycheefield {

/// What made a call fail, as far as that decides when the call is repeated.
enum class FailureCause : std::uint8_t {
    Store, ///< The store or the way to it, or the client's budget or queue is used up.
    LocalResources, ///< This process or machine lacked a descriptor, a port or memory to open a connection. Nothing was sent.
    ClientPause, ///< The client sends no calls for a while, after failures of anybody's calls. Nothing was sent.
};

}
