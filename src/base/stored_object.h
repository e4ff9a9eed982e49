#pragma once

#include <cstdint>
#include <string>

namespace lycheefield {

/// Version of an object in the platform's object API; 0 for an object that does not exist.
struct ObjectVersion {
    std::uint64_t value = 0;
    friend auto operator<=>(const ObjectVersion&, const ObjectVersion&) = default;
};

struct StoredObject {
    std::string key;
    ObjectVersion version;
    std::string value;
    std::int64_t respondedAt = 0; ///< Seconds since the Unix epoch by the store's clock; 0 when the response has no time. Ignored by operator==.
    std::uint64_t epoch = 0; ///< Of the store that responded to the read or write; 0 when it named none. Ignored by operator==.

    friend bool operator==(const StoredObject& a, const StoredObject& b) { return a.key == b.key && a.version == b.version && a.value == b.value; }
};

/// Outcome of a call to the object API.
enum class StoreStatus : std::uint8_t {
    Ok,
    NotFound,
    Conflict, ///< The write's condition did not hold; nothing was written.
    Unavailable, ///< The call was refused or never sent; nothing was written.
    HistoryExpired, ///< The store no longer keeps the changes since that revision; list the objects again.
    Lost, ///< No response: a write may have taken effect, or may still take effect.
};

}
