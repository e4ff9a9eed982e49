#pragma once

#include "base/priority.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace lycheefield {

/// One count for each priority.
class PriorityCounts {
public:
    static constexpr std::size_t priorities = 3;

    std::uint32_t& at(Priority priority) { return m_counts[static_cast<std::size_t>(priority)]; }
    std::uint32_t at(Priority priority) const { return m_counts[static_cast<std::size_t>(priority)]; }

    /// Sum of the counts of this priority and of all that go before this priority.
    std::uint32_t upTo(Priority priority) const
    {
        std::uint32_t sum = 0;
        for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); ++i)
            sum += m_counts[i];
        return sum;
    }

    friend bool operator==(const PriorityCounts&, const PriorityCounts&) = default;

private:
    std::array<std::uint32_t, priorities> m_counts {};
};

}
