#pragma once

#include "base/time.h"
#include "base/token_bucket.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheefield {

/// Importance of a log line. When the rate limit is near, the less important lines are dropped first.
enum class LineImportance : std::uint8_t {
    Plain,
    Extra,
    Failure,
    State, ///< A change of the state that the process believes in; exempt from the rate limit.
};

/// Named value of a log line.
struct LineField {
    std::string_view name;
    std::string_view value;
};

/// Writes structured log lines to standard output at a limited rate and without blocking. Dropped lines
/// are counted. Not thread safe.
class DecisionLog {
public:
    /// Makes standard output non-blocking. Precondition: at most one DecisionLog exists per process.
    explicit DecisionLog(std::uint32_t linesPerSecond);

    void write(LineImportance, TimePoint, std::string_view event, std::initializer_list<LineField>);
    std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    bool admit(LineImportance, TimePoint);

    TokenBucket m_budget;
    std::uint64_t m_droppedLines = 0;
    std::string m_line; ///< A member, so that a line reuses the allocated memory.
};

}
