#pragma once

#include "base/time.h"
#include "base/token_bucket.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheefield {

/// How much a line explains. Under load the lines of little weight give way first.
enum class LineImportance : std::uint8_t {
    Plain,
    Extra,
    Failure,
    State, ///< A change of what the process believes: always written.
};

/// One value of a log line.
struct LineField {
    std::string_view name;
    std::string_view value;
};

/// Writes structured lines to standard output: bounded in number a second, and without ever waiting
/// for a reader. Lines that are left out are counted. Not thread safe.
class DecisionLog {
public:
    /// Precondition: at most one in a process, as it makes standard output non-blocking.
    explicit DecisionLog(std::uint32_t linesPerSecond);

    void write(LineImportance, TimePoint, std::string_view event, std::initializer_list<LineField>);
    std::uint64_t leftOut() const { return m_leftOut; }

private:
    bool hasRoom(LineImportance, TimePoint);

    TokenBucket m_room;
    std::uint64_t m_leftOut = 0;
    std::string m_line; ///< Kept, so that a line allocates nothing.
};

}
