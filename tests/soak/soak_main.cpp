#include "soak_test_bed.h"

#include <CLI/CLI.hpp>

#include <csignal>

/// Injects random faults into real gateways and checks their guarantees.
int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    lycheefield::soak::SoakSettings settings;
    double minutes = 1;
    CLI::App app { "Injects random faults into real gateways and checks their guarantees from what callers and servers observe" };
    app.add_option("--program", settings.program, "Path of the gateway program")->required();
    app.add_option("--folder", settings.folder, "Folder for settings and logs; it must exist")->required();
    app.add_option("--seed", settings.seed, "Random seed of the faults and requests");
    app.add_option("--minutes", minutes, "Minutes until the last fault");
    app.add_option("--gateways", settings.gateways, "Number of gateway processes");
    CLI11_PARSE(app, argc, argv);
    settings.duration = lycheefield::Duration(static_cast<lycheefield::Duration::rep>(minutes * 60e6));
    lycheefield::soak::SoakTestBed testBed(settings);
    return testBed.run() ? 0 : 1;
}
