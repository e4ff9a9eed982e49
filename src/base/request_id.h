#pragma once

#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lycheefield {

/// Identifier of a request, unique across all instances without coordination: the life of the process
/// that accepted the request, and a counter within that life.
struct RequestId {
    ProcessLife life;
    std::uint64_t counter = 0;

    /// Formats the id as 32 hexadecimal digits: life, then counter. The text is also the request's trace id.
    std::string toString() const;
    /// Parses the output of toString; returns nothing when the text is not 32 hexadecimal digits.
    static std::optional<RequestId> parse(std::string_view);

    friend bool operator==(const RequestId&, const RequestId&) = default;
    friend auto operator<=>(const RequestId&, const RequestId&) = default;
};

}

template <>
struct std::hash<lycheefield::RequestId> {
    std::size_t operator()(const lycheefield::RequestId& id) const noexcept
    {
        return std::hash<std::uint64_t> {}(id.life.value() ^ (id.counter * 0x9e3779b97f4a7c15ULL));
    }
};
