#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lycheefield {

/// Size of one search record in bytes.
constexpr std::size_t recordBytes = 16;

/// Returns up to maxCount of the parts' greatest records, in descending byte order. Equal records are
/// all kept; trailing bytes of a part that are shorter than a record are ignored. Thread safe.
std::string greatestRecords(const std::vector<std::string_view>& parts, std::size_t maxCount);

}
