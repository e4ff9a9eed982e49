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

/// Named value of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Configures logging to standard output in the given format. Call once, before any thread logs.
void setUpLogging(LogFormat);

/// Logs a change of state, for example ("server drains", {{"server", "q3"}}). Events of single
/// requests are counted in Metrics instead of logged. Thread safe.
void logChange(LogLevel, std::string_view event, const std::vector<LogField>& = {});

}
