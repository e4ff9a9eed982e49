#pragma once

#include "observe/log_format.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheefield {

enum class LogLevel : std::uint8_t {
    Info,
    Warning,
    Error,
};

/// A named value that goes along with a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Sends log lines to standard output in the given format. Call it once, before any thread logs.
void setUpLogging(LogFormat);

/// Writes one line about a change of state, for example ("server drains", {{"server", "q3"}}).
/// What happens for each request is counted in Metrics instead. Thread safe.
void logChange(LogLevel, std::string_view event, const std::vector<LogField>& = {});

}
