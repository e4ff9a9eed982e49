#pragma once

#include "observe/log_format.h"

#include <easylogging++.h>

#include <string>

namespace lycheefield {

/// Formats the log lines of easylogging++. The builder holds the format for as long as the logger lives,
/// so that logging reads no other state of the process. Immutable.
///
/// The messages that logChange writes are JSON objects with "event" and the fields.
class LogLineBuilder final : public el::LogBuilder {
public:
    explicit LogLineBuilder(LogFormat);

    std::string build(const el::LogMessage*, bool appendNewLine) const override;

private:
    LogFormat m_format;
};

}
