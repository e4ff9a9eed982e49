#include "cli/program_options.h"

#include <string>

namespace lycheefield {

void addProgramOptions(CLI::App& app, std::optional<LogFormat>& format)
{
    app.set_version_flag("--version", LYCHEEFIELD_VERSION);
    const auto choose = [&format](const std::string& name) { format = name == "json" ? LogFormat::Json : LogFormat::Text; };
    app.add_option_function<std::string>("--log-format", choose, "text or json")->check(CLI::IsMember({ "text", "json" }));
}

std::optional<ExitCode> parseArguments(CLI::App& app, int argc, const char* const* argv, std::ostream& out, std::ostream& err)
{
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& ex) {
        return app.exit(ex, out, err) == 0 ? ExitCode::Ok : ExitCode::Usage;
    }
    return std::nullopt;
}

}
