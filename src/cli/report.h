#pragma once

#include "base/error.h"
#include "cli/exit_code.h"
#include "settings/settings.h"

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace lycheefield {

/// Output of a command, as text or as one JSON object per line. Not thread safe.
class Report {
public:
    /// Precondition: both streams outlive the report.
    Report(std::ostream& out, std::ostream& err, bool isJson);

    /// Writes a result to the output stream. In JSON: {"line":TEXT}.
    void line(std::string_view);
    /// Writes text of several lines to the output stream, unchanged; in JSON, each line as line() does.
    void text(std::string_view);
    /// Writes an error to the error stream. In JSON: {"error":…}.
    void error(const Error&);
    /// Writes one line about an error in a file to the error stream, with kind "invalid-input" in JSON.
    void inputError(std::string_view);

private:
    std::ostream& m_out;
    std::ostream& m_err;
    bool m_isJson;
};

/// Writes one line for each error in a settings file.
void reportSettingErrors(const std::vector<SettingError>&, Report&);

}
