#pragma once

#include <string>

namespace lycheefield {

/// Asks another instance for the objects of the platform's store that it knows below a prefix. The answer is
/// a StoreNews from revision 0. An instance that knows nothing yet answers with revision 0.
struct StoreStateRequest {
    std::string prefix; ///< Key prefix of the objects.

    friend bool operator==(const StoreStateRequest&, const StoreStateRequest&) = default;
};

}
