#pragma once

#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lycheefield {

/// Names one request over all instances without coordination: the life of the process that took
/// it, and a counter within that life.
struct RequestId {
    ProcessLife life;
    std::uint64_t counter = 0;

    /// 32 hexadecimal digits: life, then counter. It serves as the trace id of the request too.
    std::string toString() const;
    /// The inverse of toString; empty when the text is not 32 hexadecimal digits.
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
