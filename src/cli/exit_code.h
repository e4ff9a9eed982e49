#pragma once

namespace lycheefield {

/// How every program ends.
enum class ExitCode : int {
    Ok = 0,
    Failure = 1,
    Usage = 2, ///< Wrong arguments or bad settings.
};

}
