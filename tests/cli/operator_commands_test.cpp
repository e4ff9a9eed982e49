#include "cli/fake_access.h"
#include "cli/fleet_status.h"
#include "cli/operator_cli.h"
#include "cli/rule_commands.h"
#include "cli/rule_file.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace lycheefield {

namespace {

const std::string goodRules = "match /search service quotedesk deadline 80ms # Ngozi: van lookups\n";
const std::string moreRules = goodRules + "match /record service quotedesk kind record deadline 80ms # Bisi: records\n";

/// A rule file on disk that is removed at the end of the test.
class TemporaryFile {
public:
    explicit TemporaryFile(const std::string& content)
        : m_path(std::filesystem::temp_directory_path() / ("lycheefield_cli_test_" + std::to_string(getpid()) + "_" + std::to_string(systemSeed())))
    {
        std::ofstream(m_path) << content;
    }
    ~TemporaryFile() { std::remove(m_path.c_str()); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;
    const std::string& path() const { return m_path; }
    RuleFile read() const { return readRuleFile(m_path).value(); }

private:
    std::string m_path;
};

/// A fleet of three instances and a catalog with one service.
class Fleet {
public:
    Fleet()
        : report(out, err, false)
    {
        const std::string entry = R"({"service":"quotedesk","epoch":1,"shards":[{"batches":["b1"],"replicas":["s1"]}],)"
                                  R"("servers":[{"name":"s1","address":"127.0.0.1","port":1,"zone":"a","slots":2,"connections":25,"leaving":false,"versions":[1]}]})";
        access.write("catalog/quotedesk", ObjectVersion(), entry);
        access.listed.emplace();
        for (int i = 0; i < 3; ++i)
            access.listed->push_back({ InstanceName("i" + std::to_string(i)), ProcessLife(i + 1), {}, {}, ZoneName("a"), InstanceHealth::Alive });
        access.onCall = [this](const Instance& instance, const HttpRequest&) { return statusOf(instance); };
    }

    HttpResponse statusOf(const Instance& instance)
    {
        const auto rules = instance.name == InstanceName("i2") && fixedRevision ? *fixedRevision : storedRevision();
        return { 200, "application/json", R"({"ready":true,"reason":"","requests_in_flight":4,"rules":)" + std::to_string(rules) + "}" };
    }
    std::uint64_t storedRevision()
    {
        const auto response = access.read(currentRulesKey);
        return response.status == StoreStatus::Ok ? parseStoredRules(response.object.value).value().revision.value() : 0;
    }
    ExitCode apply(const std::string& path, std::optional<std::uint64_t> base = {})
    {
        return applyRuleFile({ path, base, "ngozi", "2026-12-04T06:00:00Z", "id" + std::to_string(++applies), 5s }, access, report);
    }
    std::string printed() const { return out.str() + err.str(); }
    bool hasPrinted(const std::string& text) const { return printed().find(text) != std::string::npos; }

    FakeAccess access;
    std::ostringstream out;
    std::ostringstream err;
    Report report;
    std::optional<std::uint64_t> fixedRevision = 1000; ///< Revision that instance i2 reports, whatever the store holds; empty: that of the store.
    int applies = 0;
};

int runCli(std::vector<std::string> arguments, std::string& printed)
{
    arguments.insert(arguments.begin(), "lycheefield");
    std::vector<char*> argv;
    for (auto& it : arguments)
        argv.push_back(it.data());
    std::ostringstream out;
    const int code = runOperatorCli(static_cast<int>(argv.size()), argv.data(), out, out);
    printed = out.str();
    return code;
}

}

TEST_CASE("The command check verifies a whole rule file" * doctest::test_suite("cli"))
{
    Fleet fleet;
    SUBCASE("A valid rule file passes")
    {
        const TemporaryFile file(goodRules);
        CHECK(checkRuleFile(file.path(), &fleet.access, fleet.report) == ExitCode::Ok);
        CHECK(fleet.hasPrinted("1 rules are valid"));
    }
    SUBCASE("An error names file, line and column, where the revision line counts as a line")
    {
        const TemporaryFile file("# revision 3\n" + goodRules + "match /b service nobody deadline 1s # x\n");
        CHECK(checkRuleFile(file.path(), &fleet.access, fleet.report) == ExitCode::Failure);
        CHECK(fleet.hasPrinted(file.path() + ":3:1: the catalog has no service 'nobody'"));
    }
    SUBCASE("An empty rule file is valid and has no rules")
    {
        const TemporaryFile file("");
        CHECK(checkRuleFile(file.path(), &fleet.access, fleet.report) == ExitCode::Ok);
        CHECK(fleet.hasPrinted("0 rules are valid"));
    }
    SUBCASE("The check fails for a missing file, for a directory and when the store is unreachable")
    {
        CHECK(checkRuleFile("/nonexistent", nullptr, fleet.report) == ExitCode::Failure);
        CHECK(checkRuleFile("/", nullptr, fleet.report) == ExitCode::Failure);
        const TemporaryFile file(goodRules);
        standin::PlatformFaults faults;
        faults.outage = true;
        fleet.access.store().setFaults(faults);
        CHECK(checkRuleFile(file.path(), &fleet.access, fleet.report) == ExitCode::Failure);
        CHECK(fleet.hasPrinted("store does not answer"));
    }
}

TEST_CASE("The command apply submits a rule file and waits until its rules are in force" * doctest::test_suite("cli"))
{
    Fleet fleet;
    const TemporaryFile first(goodRules);
    SUBCASE("The command succeeds only when every instance has the revision in force")
    {
        CHECK(fleet.apply(first.path()) == ExitCode::Failure);
        CHECK(fleet.hasPrinted("revision 1001 accepted"));
        CHECK(fleet.hasPrinted("in force on 2 of 3 instances\nnot confirmed by: i2"));
        fleet.fixedRevision.reset();
        const TemporaryFile second("# revision 1001\n" + moreRules);
        CHECK(fleet.apply(second.path()) == ExitCode::Ok);
        CHECK(fleet.hasPrinted("revision 1002 accepted\nin force on 3 of 3 instances"));
        CHECK(second.read() == RuleFile { RuleRevision(1002), moreRules });
    }
    SUBCASE("An invalid rule file changes nothing in the store")
    {
        const TemporaryFile bad(goodRules + "match /b service quotedesk deadline 1s\n");
        CHECK(fleet.apply(bad.path()) == ExitCode::Failure);
        CHECK(fleet.storedRevision() == 0);
    }
    SUBCASE("Of two operators with the same base revision the second gets a conflict and the difference, and the first one's rules stay")
    {
        fleet.fixedRevision.reset();
        fleet.apply(first.path());
        const auto base = fleet.storedRevision();
        const TemporaryFile second("# revision " + std::to_string(base) + "\n" + moreRules);
        const TemporaryFile third("# revision " + std::to_string(base) + "\n");
        fleet.apply(second.path());
        const auto accepted = fleet.storedRevision();
        CHECK(fleet.apply(third.path()) == ExitCode::Failure);
        CHECK(fleet.hasPrinted("conflict: the rules changed since revision " + std::to_string(base)));
        CHECK(fleet.hasPrinted("+2: match /record"));
        CHECK(fleet.storedRevision() == accepted);
        CHECK(third.read().base == RuleRevision(base));
    }
    SUBCASE("A rule file without a base revision is refused once rules have been accepted")
    {
        fleet.fixedRevision.reset();
        fleet.apply(first.path());
        CHECK(fleet.apply(first.path()) == ExitCode::Failure);
        CHECK(fleet.hasPrinted("write '# revision 1' as its first line"));
        CHECK(fleet.apply(first.path(), 1) == ExitCode::Ok);
        CHECK(fleet.storedRevision() == 2);
    }
    SUBCASE("Rules are accepted although the response to the write is lost")
    {
        fleet.access.beforeWrite = [&] {
            standin::PlatformFaults faults;
            faults.loseWriteAnswers = 1;
            fleet.access.store().setFaults(faults);
        };
        CHECK(fleet.apply(first.path()) == ExitCode::Failure);
        CHECK(fleet.hasPrinted("revision 1001 accepted"));
    }
    SUBCASE("Rules are accepted although the write takes effect late")
    {
        fleet.access.beforeWrite = [&] {
            standin::PlatformFaults faults;
            faults.lateWrites = 1;
            faults.lateBy = 120ms;
            fleet.access.store().setFaults(faults);
        };
        fleet.apply(first.path());
        CHECK(fleet.hasPrinted("revision 1001 accepted"));
        fleet.access.pause(1s);
        CHECK(fleet.storedRevision() == 1001);
    }
}

TEST_CASE("Accepted revisions stay in the history" * doctest::test_suite("cli"))
{
    Fleet fleet;
    fleet.fixedRevision.reset();
    const TemporaryFile first(goodRules);
    const TemporaryFile second("# revision 1\n" + moreRules);
    fleet.apply(first.path());
    fleet.apply(second.path());
    fleet.out.str("");
    SUBCASE("The command history lists all revisions")
    {
        CHECK(showHistory({}, fleet.access, fleet.report) == ExitCode::Ok);
        CHECK(fleet.out.str() == "revision 1, 2026-12-04T06:00:00Z, by ngozi, apply id id1\nrevision 2, 2026-12-04T06:00:00Z, by ngozi, apply id id2\n");
    }
    SUBCASE("The command history prints one revision as an editable rule file")
    {
        CHECK(showHistory(1, fleet.access, fleet.report) == ExitCode::Ok);
        CHECK(fleet.out.str() == "# revision 1\n" + goodRules);
        CHECK(showHistory(7, fleet.access, fleet.report) == ExitCode::Failure);
    }
    SUBCASE("The command diff compares a rule file with the revision accepted last")
    {
        CHECK(diffRuleFile(first.path(), fleet.access, fleet.report) == ExitCode::Ok);
        CHECK(fleet.hasPrinted("from revision 2"));
        CHECK(fleet.hasPrinted("-2: match /record"));
    }
}

TEST_CASE("Operator commands call the instances of the platform's list" * doctest::test_suite("cli"))
{
    Fleet fleet;
    const std::string id = "00000000000000020000000000000007";
    SUBCASE("The command status prints each instance and fails when one does not answer")
    {
        CHECK(showStatus(fleet.access, fleet.report) == ExitCode::Ok);
        CHECK(fleet.hasPrinted("i2 in a at :0: ready, rules 1000, 4 requests in flight"));
        fleet.access.onCall = nullptr;
        CHECK(showStatus(fleet.access, fleet.report) == ExitCode::Failure);
        CHECK(fleet.hasPrinted("does not answer"));
        fleet.access.listed.reset();
        CHECK(showStatus(fleet.access, fleet.report) == ExitCode::Failure);
    }
    SUBCASE("The commands explain and cancel call the instance that took the request first")
    {
        CHECK(explainRequest(id, fleet.access, fleet.report) == ExitCode::Ok);
        CHECK(fleet.access.calls == std::vector<std::string> { "i1 GET /v1/requests/" + id });
        fleet.access.onCall = [](const Instance&, const HttpRequest&) { return HttpResponse { 200, "application/json", R"({"lines":["arrived","answered"]})" }; };
        CHECK(explainRequest(id, fleet.access, fleet.report) == ExitCode::Ok);
        CHECK(fleet.hasPrinted("i1:\narrived\nanswered\n"));
        CHECK(cancelRequest("12", fleet.access, fleet.report) == ExitCode::Usage);
        fleet.access.onCall = [](const Instance&, const HttpRequest&) { return HttpResponse { 404, "text/plain", "" }; };
        CHECK(cancelRequest(id, fleet.access, fleet.report) == ExitCode::Failure);
        CHECK(fleet.hasPrinted("has this request in flight"));
        CHECK(fleet.access.calls.size() == 5);
    }
}

TEST_CASE("The exit code distinguishes wrong usage from a failure" * doctest::test_suite("cli"))
{
    std::string printed;
    CHECK(runCli({ "--help" }, printed) == 0);
    CHECK(runCli({ "--version" }, printed) == 0);
    CHECK(printed.find(LYCHEEFIELD_VERSION) != std::string::npos);
    CHECK(runCli({}, printed) == 2);
    CHECK(runCli({ "check" }, printed) == 2);
    CHECK(runCli({ "status", "--platform", "localhost:80" }, printed) == 2);
    CHECK(runCli({ "status", "--settings", "/nonexistent" }, printed) == 2);
    CHECK(runCli({ "check", "/nonexistent" }, printed) == 1);
    CHECK(runCli({ "settings", "--log-format", "json" }, printed) == 0);
    CHECK(printed.starts_with("{\"line\":"));
    CHECK(runCli({ "check", "/nonexistent", "--log-format", "json" }, printed) == 1);
    CHECK(printed.starts_with("{\"error\":"));
}

}
