#pragma once

#include "observe/log_format.h"

#include <easylogging++.h>

#include <string>

namespace lycheefield {

/// How easylogging++ lays out a line: one object holds the format for as long as the logger lives,
/// so nothing of ours has to be read when something is logged. Immutable.
///
/// A message is a JSON object with "event" and the fields; logChange writes such messages.
class LogLines final : public el::LogBuilder {
public:
    explicit LogLines(LogFormat);

    std::string build(const el::LogMessage*, bool appendNewLine) const override;

private:
    LogFormat m_format;
};

}
