#pragma once

#include <ostream>

namespace lycheefield {

/// The program `lycheefield`: parses the command line and runs one command. Returns the exit code:
/// 0 done, 1 failed, 2 wrong usage or bad settings.
int runOperatorCli(int argc, char** argv, std::ostream& out, std::ostream& err);

}
