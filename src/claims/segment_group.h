#pragma once

#include "claims/segment_index.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lycheefield {

/// Number of segments whose summaries share one group object, so that an instance that starts to use a partition
/// reads them in one call.
constexpr std::uint64_t segmentsPerGroup = 64;

constexpr std::uint64_t groupOf(std::uint64_t segment)
{
    return segment / segmentsPerGroup;
}

/// Summaries of segments by segment number.
using SegmentSummaries = std::map<std::uint64_t, SegmentSummary>;

/// Returns the text of a group object.
std::string groupText(const SegmentSummaries&);
/// Parses the text of a group object; nullopt when the text is malformed or the group is incomplete.
std::optional<SegmentSummaries> parseGroup(const std::string& text);

/// Key of a group object in the store.
std::string groupKey(std::uint32_t partition, std::uint64_t group);

}
