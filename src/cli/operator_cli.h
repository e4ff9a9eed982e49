#pragma once

#include <ostream>

namespace lycheefield {

/// Main function of the program `lycheefield`: parses the command line and runs one command. Returns the exit
/// code: 0 for success, 1 for a failure, 2 for wrong usage or invalid settings.
int runOperatorCli(int argc, char** argv, std::ostream& out, std::ostream& err);

}
