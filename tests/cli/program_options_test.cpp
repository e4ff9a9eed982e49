#include "cli/program_options.h"
#include "cli/report.h"

#include <doctest/doctest.h>

#include <sstream>
#include <string>
#include <vector>

namespace lycheefield {

namespace {

/// A program with one required option of its own.
struct Program {
    Program()
    {
        addProgramOptions(app, format);
        app.add_option("--port", port)->required();
    }

    std::optional<ExitCode> parse(std::vector<const char*> arguments)
    {
        arguments.insert(arguments.begin(), "program");
        return parseArguments(app, static_cast<int>(arguments.size()), arguments.data(), out, err);
    }

    CLI::App app { "A program of the tests." };
    std::optional<LogFormat> format;
    std::uint16_t port = 0;
    std::ostringstream out;
    std::ostringstream err;
};

}

TEST_CASE("All programs parse their common arguments in the same way" * doctest::test_suite("cli"))
{
    Program program;
    SUBCASE("With valid arguments the program continues, and an absent log format stays unset")
    {
        CHECK_FALSE(program.parse({ "--port", "80" }));
        CHECK(program.port == 80);
        CHECK_FALSE(program.format);
    }
    SUBCASE("The option --log-format sets the format")
    {
        CHECK_FALSE(program.parse({ "--port", "80", "--log-format", "json" }));
        CHECK((program.format == LogFormat::Json));
    }
    SUBCASE("The options --help and --version print to standard output and end the program with Ok")
    {
        CHECK((program.parse({ "--help" }) == ExitCode::Ok));
        CHECK(program.out.str().find("--log-format") != std::string::npos);
        CHECK((program.parse({ "--version" }) == ExitCode::Ok));
        CHECK(program.out.str().find(LYCHEEFIELD_VERSION) != std::string::npos);
        CHECK(program.err.str().empty());
    }
    SUBCASE("An error in the arguments is printed to standard error and ends the program with Usage")
    {
        CHECK((program.parse({}) == ExitCode::Usage));
        CHECK((program.parse({ "--port", "many" }) == ExitCode::Usage));
        CHECK((program.parse({ "--port", "80", "--log-format", "xml" }) == ExitCode::Usage));
        CHECK((program.parse({ "--port", "80", "--nonsense" }) == ExitCode::Usage));
        CHECK(program.err.str().find("--nonsense") != std::string::npos);
        CHECK(program.out.str().empty());
    }
}

TEST_CASE("All errors of a settings file are reported in either format" * doctest::test_suite("cli"))
{
    std::ostringstream out;
    std::ostringstream err;
    const std::vector<SettingError> errors { { "a.ini", 2, "http.max_legs", "'x' is no number", "1 to 8192" }, { "a.ini", 0, "instance.name", "is missing", "a name" } };
    SUBCASE("In text, each error is one line")
    {
        Report report(out, err, false);
        reportSettingErrors(errors, report);
        CHECK(err.str() == "a.ini:2: http.max_legs: 'x' is no number; allowed: 1 to 8192\na.ini: instance.name: is missing; allowed: a name\n");
    }
    SUBCASE("In JSON, each error is one object")
    {
        Report report(out, err, true);
        reportSettingErrors(errors, report);
        CHECK(err.str().find("{\"error\":{\"kind\":\"invalid-input\",\"message\":\"a.ini:2: http.max_legs") == 0);
        CHECK(err.str().find("\n{\"error\"") != std::string::npos);
    }
}

}
