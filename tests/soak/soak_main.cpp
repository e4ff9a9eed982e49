#include "soak_world.h"

#include <CLI/CLI.hpp>

#include <csignal>

/// Plays random faults against real gateways and checks what they promise.
int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    lycheefield::soak::SoakSettings settings;
    double minutes = 1;
    CLI::App app { "Plays faults against real gateways and checks their promises from what callers and servers see" };
    app.add_option("--program", settings.program, "The gateway's program")->required();
    app.add_option("--folder", settings.folder, "Folder for settings and logs; it must exist")->required();
    app.add_option("--seed", settings.seed, "Of the faults and requests");
    app.add_option("--minutes", minutes, "Until the last fault");
    app.add_option("--gateways", settings.gateways, "Processes");
    CLI11_PARSE(app, argc, argv);
    settings.length = lycheefield::Duration(static_cast<lycheefield::Duration::rep>(minutes * 60e6));
    lycheefield::soak::SoakWorld world(settings);
    return world.run() ? 0 : 1;
}
