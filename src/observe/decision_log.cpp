#include "observe/decision_log.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace lycheefield {

namespace {

/// Parts of a second's lines that must be left over for a line of that weight.
constexpr double roomForPlain = 0.5;
constexpr double roomForExtra = 0.25;

double leastRoom(LineImportance weight, double most)
{
    switch (weight) {
    case LineImportance::Plain:
        return std::max(1.0, roomForPlain * most);
    case LineImportance::Extra:
        return std::max(1.0, roomForExtra * most);
    case LineImportance::Failure:
    case LineImportance::State:
        break;
    }
    return 1;
}

void appendQuoted(std::string& out, std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    out += '"';
    for (const char it : text) {
        if (it == '"' || it == '\\')
            out += '\\';
        out += static_cast<unsigned char>(it) < firstPrintable ? ' ' : it;
    }
    out += '"';
}

}

DecisionLog::DecisionLog(std::uint32_t linesPerSecond)
    : m_room(linesPerSecond, linesPerSecond)
{
    const auto flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

bool DecisionLog::hasRoom(LineImportance weight, TimePoint now)
{
    return weight == LineImportance::State || m_room.take(now, leastRoom(weight, m_room.burst()));
}

void DecisionLog::write(LineImportance weight, TimePoint now, std::string_view event, std::initializer_list<LineField> fields)
{
    if (!hasRoom(weight, now)) {
        ++m_leftOut;
        return;
    }
    m_line.assign("{\"at_us\":").append(std::to_string(now.time_since_epoch().count())).append(",\"event\":");
    appendQuoted(m_line, event);
    for (const auto& it : fields) {
        m_line += ',';
        appendQuoted(m_line, it.name);
        m_line += ':';
        appendQuoted(m_line, it.value);
    }
    if (m_leftOut > 0)
        m_line.append(",\"left_out\":").append(std::to_string(m_leftOut));
    m_line.append("}\n");
    // A reader that does not keep up costs lines, never time.
    if (::write(STDOUT_FILENO, m_line.data(), m_line.size()) != static_cast<ssize_t>(m_line.size()))
        ++m_leftOut;
}

}
