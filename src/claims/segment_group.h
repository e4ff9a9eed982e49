#pragma once

#include "claims/segment_index.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lycheefield {

/// Segments whose summaries share one object, so that an instance that takes over a partition reads
/// them in one call.
constexpr std::uint64_t segmentsPerGroup = 64;

constexpr std::uint64_t groupOf(std::uint64_t segment)
{
    return segment / segmentsPerGroup;
}

/// Summaries of segments by their numbers.
using SegmentSummaries = std::map<std::uint64_t, SegmentSummary>;

/// Text of a group's object, and its summaries back; empty when the text is malformed.
std::string groupText(const SegmentSummaries&);
std::optional<SegmentSummaries> parseGroup(const std::string& text);

std::string groupKey(std::uint32_t partition, std::uint64_t group);

}
