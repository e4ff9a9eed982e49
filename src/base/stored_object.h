#pragma once

#include <cstdint>
#include <string>

namespace lycheefield {

/// Version of one object in the platform's object API. 0 means that the object does not exist.
struct ObjectVersion {
    std::uint64_t value = 0;
    friend auto operator<=>(const ObjectVersion&, const ObjectVersion&) = default;
};

struct StoredObject {
    std::string key;
    ObjectVersion version;
    std::string value;
    std::int64_t answeredAt = 0; ///< Seconds since the Unix epoch by the store's clock; 0 when it did not tell. Not compared.

    friend bool operator==(const StoredObject& a, const StoredObject& b) { return a.key == b.key && a.version == b.version && a.value == b.value; }
};

/// How a call to the object API ended.
enum class StoreStatus : std::uint8_t {
    Ok,
    NotFound,
    Conflict, ///< The condition did not hold; nothing was written.
    Unavailable, ///< The call was refused or never left; nothing was written.
    HistoryGone, ///< The changes since that revision are not kept any more; list again.
    Lost, ///< No answer: a write may have taken effect, or may yet.
};

}
