#include "observe/decision_log.h"

#include "observe/log_text.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace lycheefield {

namespace {

/// Share of the burst that the token bucket must still hold before a line of that importance is written.
constexpr double minShareForPlain = 0.5;
constexpr double minShareForExtra = 0.25;

double minTokens(LineImportance importance, double burst)
{
    switch (importance) {
    case LineImportance::Plain:
        return std::max(1.0, minShareForPlain * burst);
    case LineImportance::Extra:
        return std::max(1.0, minShareForExtra * burst);
    case LineImportance::Failure:
    case LineImportance::State:
        break;
    }
    return 1;
}

}

DecisionLog::DecisionLog(std::uint32_t linesPerSecond)
    : m_budget(linesPerSecond, linesPerSecond)
{
    const auto flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

bool DecisionLog::admit(LineImportance importance, TimePoint now)
{
    return importance == LineImportance::State || m_budget.take(now, minTokens(importance, m_budget.burst()));
}

void DecisionLog::write(LineImportance importance, TimePoint now, std::string_view event, std::initializer_list<LineField> fields)
{
    if (!admit(importance, now)) {
        ++m_droppedLines;
        return;
    }
    m_line.assign("{\"at_us\":").append(std::to_string(now.time_since_epoch().count())).append(",\"event\":");
    appendJsonText(m_line, event);
    for (const auto& it : fields) {
        m_line += ',';
        appendJsonText(m_line, it.name);
        m_line += ':';
        appendJsonText(m_line, it.value);
    }
    if (m_droppedLines > 0)
        m_line.append(",\"left_out\":").append(std::to_string(m_droppedLines));
    m_line.append("}\n");
    // Standard output is non-blocking: when its reader does not keep up, lines are dropped instead of delaying the process.
    if (::write(STDOUT_FILENO, m_line.data(), m_line.size()) != static_cast<ssize_t>(m_line.size()))
        ++m_droppedLines;
}

}
