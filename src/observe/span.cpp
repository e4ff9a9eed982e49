#include "observe/span.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace lycheefield {

namespace {

constexpr std::size_t traceIdStart = 3;
constexpr std::size_t traceIdLength = 32;
constexpr std::size_t parentStart = 36;
constexpr std::size_t parentLength = 16;
constexpr std::size_t headerLength = 55;
constexpr int hexadecimal = 16;

bool isLowerHex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

}

TraceParent TraceParent::parse(const std::string& header)
{
    if (header.size() < headerLength || header[2] != '-' || header[35] != '-' || header[52] != '-')
        return {};
    const auto traceId = header.substr(traceIdStart, traceIdLength);
    if (!std::all_of(traceId.begin(), traceId.end(), isLowerHex) || traceId == std::string(traceIdLength, '0'))
        return {};
    std::uint64_t parent = 0;
    const char* first = header.data() + parentStart;
    const auto [end, ec] = std::from_chars(first, first + parentLength, parent, hexadecimal);
    if (ec != std::errc() || end != first + parentLength)
        return {};
    return { traceId, SpanId(parent) };
}

std::string TraceParent::toString() const
{
    char buf[headerLength + 1];
    std::snprintf(buf, sizeof(buf), "00-%s-%016llx-01", traceId.c_str(), static_cast<unsigned long long>(parent.value()));
    return buf;
}

}
