#pragma once

#include "cli/exit_code.h"
#include "observe/log.h"

#include <CLI/CLI.hpp>

#include <optional>
#include <ostream>

namespace lycheefield {

/// Adds what every program takes: --version and --log-format. `--help` is CLI11's own.
///
/// The format stays as it was when the option is not given, so that a program can tell its own
/// default from a choice. Precondition: the format outlives the app.
void addProgramOptions(CLI::App&, std::optional<LogFormat>& format);

/// Reads the arguments. Empty: the program goes on. Else it ends with that code: after --help and
/// --version with Ok, after a mistake in the arguments with Usage, and the reason is in `err`.
std::optional<ExitCode> parseArguments(CLI::App&, int argc, const char* const* argv, std::ostream& out, std::ostream& err);

}
