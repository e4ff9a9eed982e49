#include "forward/record_merge.h"

#include <algorithm>
#include <functional>

namespace lycheefield {

std::string greatestRecords(const std::vector<std::string_view>& parts, std::size_t maxCount)
{
    std::vector<std::string_view> records;
    for (const auto& part : parts) {
        for (std::size_t at = 0; at + recordBytes <= part.size(); at += recordBytes)
            records.push_back(part.substr(at, recordBytes));
    }
    const auto kept = std::min(maxCount, records.size());
    const auto end = records.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(records.begin(), end, records.end(), std::greater<> {});
    std::string merged;
    merged.reserve(kept * recordBytes);
    for (auto it = records.begin(); it != end; ++it)
        merged.append(*it);
    return merged;
}

}
