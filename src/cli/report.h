#pragma once

#include "base/error.h"
#include "cli/exit_code.h"
#include "settings/settings.h"

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace lycheefield {

/// Writes what a command has to say, as text or as one JSON object a line. Not thread safe.
class Report {
public:
    /// Precondition: both streams outlive the report.
    Report(std::ostream& out, std::ostream& err, bool isJson);

    /// A result, to the output stream. In JSON: {"line":TEXT}.
    void line(std::string_view);
    /// Text of several lines, as it is.
    void text(std::string_view);
    /// A mistake or failure, to the error stream. In JSON: {"error":…}.
    void error(const Error&);
    void mistake(std::string_view);

private:
    std::ostream& m_out;
    std::ostream& m_err;
    bool m_isJson;
};

/// One line for each mistake in a settings file.
void reportSettingErrors(const std::vector<SettingError>&, Report&);

}
