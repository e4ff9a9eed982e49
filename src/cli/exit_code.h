#pragma once

namespace lycheefield {

/// Exit codes of all programs.
enum class ExitCode : int {
    Ok = 0,
    Failure = 1,
    Usage = 2, ///< Invalid arguments or settings.
};

}
