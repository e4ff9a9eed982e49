#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lycheefield {

/// Bytes of one record of a search.
constexpr std::size_t recordBytes = 16;

/// The greatest records of the parts, greatest first, compared byte by byte; equal ones all count.
/// A rest of a part shorter than a record is none. Thread safe.
std::string greatestRecords(const std::vector<std::string_view>& parts, std::size_t most);

}
