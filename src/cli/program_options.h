#pragma once

#include "cli/exit_code.h"
#include "observe/log.h"

#include <CLI/CLI.hpp>

#include <optional>
#include <ostream>

namespace lycheefield {

/// Adds the options that all programs share: --version and --log-format. CLI11 adds `--help`.
///
/// `format` is unchanged when the option is absent, so that a program can tell its default from an explicit
/// choice. Precondition: `format` outlives the app.
void addProgramOptions(CLI::App&, std::optional<LogFormat>& format);

/// Parses the arguments. Returns nothing when the program is to continue, else its exit code: Ok after --help
/// and --version, Usage after an error in the arguments, which is written to `err`.
std::optional<ExitCode> parseArguments(CLI::App&, int argc, const char* const* argv, std::ostream& out, std::ostream& err);

}
