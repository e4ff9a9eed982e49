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

/// A rule file on disk for the length of a test.
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

/// Three instances and a catalog with one service.
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
        const auto rules = instance.name == InstanceName("i2") && stuckAt ? *stuckAt : storedRevision();
        return { 200, "application/json", R"({"ready":true,"reason":"","requests_in_flight":4,"rules":)" + std::to_string(rules) + "}" };
    }
    std::uint64_t storedRevision()
    {
        const auto reply = access.read(currentRulesKey);
        return reply.status == StoreStatus::Ok ? parseStoredRules(reply.object.value).value().revision.value() : 0;
    }
    ExitCode apply(const std::string& path, std::optional<std::uint64_t> base = {})
    {
        return applyRuleFile({ path, base, "ngozi", "2026-12-04T06:00:00Z", "id" + std::to_string(++applies), 5s }, access, report);
    }
    std::string said() const { return out.str() + err.str(); }
    bool hasSaid(const std::string& text) const { return said().find(text) != std::string::npos; }

    FakeAccess access;
    std::ostringstream out;
    std::ostringstream err;
    Report report;
    std::optional<std::uint64_t> stuckAt = 1000; ///< What instance i2 has in force, whatever the store holds.
    int applies = 0;
};

int runCli(std::vector<std::string> arguments, std::string& said)
{
    arguments.insert(arguments.begin(), "lycheefield");
    std::vector<char*> argv;
    for (auto& it : arguments)
        argv.push_back(it.data());
    std::ostringstream out;
    const int code = runOperatorCli(static_cast<int>(argv.size()), argv.data(), out, out);
    said = out.str();
    return code;
}

}

TEST_CASE("a rule file is checked as a whole" * doctest::test_suite("cli"))
{
    Fleet fleet;
    SUBCASE("a good one")
    {
        const TemporaryFile file(goodRules);
        CHECK(checkRuleFile(file.path(), &fleet.access, fleet.report) == ExitCode::Ok);
        CHECK(fleet.hasSaid("1 rules are good"));
    }
    SUBCASE("mistakes name file, line and column, counted with the revision line")
    {
        const TemporaryFile file("# revision 3\n" + goodRules + "match /b service nobody deadline 1s # x\n");
        CHECK(checkRuleFile(file.path(), &fleet.access, fleet.report) == ExitCode::Failure);
        CHECK(fleet.hasSaid(file.path() + ":3:1: the catalog has no service 'nobody'"));
    }
    SUBCASE("an empty one is good, and has no rules")
    {
        const TemporaryFile file("");
        CHECK(checkRuleFile(file.path(), &fleet.access, fleet.report) == ExitCode::Ok);
        CHECK(fleet.hasSaid("0 rules are good"));
    }
    SUBCASE("a file that is not there, a folder, a store that is down")
    {
        CHECK(checkRuleFile("/nonexistent", nullptr, fleet.report) == ExitCode::Failure);
        CHECK(checkRuleFile("/", nullptr, fleet.report) == ExitCode::Failure);
        const TemporaryFile file(goodRules);
        standin::PlatformFaults faults;
        faults.outage = true;
        fleet.access.store().setFaults(faults);
        CHECK(checkRuleFile(file.path(), &fleet.access, fleet.report) == ExitCode::Failure);
        CHECK(fleet.hasSaid("store does not answer"));
    }
}

TEST_CASE("rules are applied" * doctest::test_suite("cli"))
{
    Fleet fleet;
    const TemporaryFile first(goodRules);
    SUBCASE("and are in force everywhere")
    {
        CHECK(fleet.apply(first.path()) == ExitCode::Failure);
        CHECK(fleet.hasSaid("revision 1001 accepted"));
        CHECK(fleet.hasSaid("in force on 2 of 3 instances\nnot confirmed by: i2"));
        fleet.stuckAt.reset();
        const TemporaryFile second("# revision 1001\n" + moreRules);
        CHECK(fleet.apply(second.path()) == ExitCode::Ok);
        CHECK(fleet.hasSaid("revision 1002 accepted\nin force on 3 of 3 instances"));
        CHECK(second.read() == RuleFile { RuleRevision(1002), moreRules });
    }
    SUBCASE("a bad file changes nothing")
    {
        const TemporaryFile bad(goodRules + "match /b service quotedesk deadline 1s\n");
        CHECK(fleet.apply(bad.path()) == ExitCode::Failure);
        CHECK(fleet.storedRevision() == 0);
    }
    SUBCASE("by two operators: the second gets the difference and keeps nothing of the first back")
    {
        fleet.stuckAt.reset();
        fleet.apply(first.path());
        const auto base = fleet.storedRevision();
        const TemporaryFile second("# revision " + std::to_string(base) + "\n" + moreRules);
        const TemporaryFile third("# revision " + std::to_string(base) + "\n");
        fleet.apply(second.path());
        const auto accepted = fleet.storedRevision();
        CHECK(fleet.apply(third.path()) == ExitCode::Failure);
        CHECK(fleet.hasSaid("conflict: the rules changed since revision " + std::to_string(base)));
        CHECK(fleet.hasSaid("+2: match /record"));
        CHECK(fleet.storedRevision() == accepted);
        CHECK(third.read().base == RuleRevision(base));
    }
    SUBCASE("not without saying which revision they were made from")
    {
        fleet.stuckAt.reset();
        fleet.apply(first.path());
        CHECK(fleet.apply(first.path()) == ExitCode::Failure);
        CHECK(fleet.hasSaid("write '# revision 1' as its first line"));
        CHECK(fleet.apply(first.path(), 1) == ExitCode::Ok);
        CHECK(fleet.storedRevision() == 2);
    }
    SUBCASE("although the answer to the write is lost")
    {
        fleet.access.beforeWrite = [&] {
            standin::PlatformFaults faults;
            faults.loseWriteAnswers = 1;
            fleet.access.store().setFaults(faults);
        };
        CHECK(fleet.apply(first.path()) == ExitCode::Failure);
        CHECK(fleet.hasSaid("revision 1001 accepted"));
    }
    SUBCASE("although the write takes effect late")
    {
        fleet.access.beforeWrite = [&] {
            standin::PlatformFaults faults;
            faults.lateWrites = 1;
            faults.lateBy = 120ms;
            fleet.access.store().setFaults(faults);
        };
        fleet.apply(first.path());
        CHECK(fleet.hasSaid("revision 1001 accepted"));
        fleet.access.pause(1s);
        CHECK(fleet.storedRevision() == 1001);
    }
}

TEST_CASE("accepted revisions are kept" * doctest::test_suite("cli"))
{
    Fleet fleet;
    fleet.stuckAt.reset();
    const TemporaryFile first(goodRules);
    const TemporaryFile second("# revision 1\n" + moreRules);
    fleet.apply(first.path());
    fleet.apply(second.path());
    fleet.out.str("");
    SUBCASE("and listed")
    {
        CHECK(showHistory({}, fleet.access, fleet.report) == ExitCode::Ok);
        CHECK(fleet.out.str() == "revision 1, 2026-12-04T06:00:00Z, by ngozi, apply id id1\nrevision 2, 2026-12-04T06:00:00Z, by ngozi, apply id id2\n");
    }
    SUBCASE("and printed as a file that can be edited")
    {
        CHECK(showHistory(1, fleet.access, fleet.report) == ExitCode::Ok);
        CHECK(fleet.out.str() == "# revision 1\n" + goodRules);
        CHECK(showHistory(7, fleet.access, fleet.report) == ExitCode::Failure);
    }
    SUBCASE("and compared")
    {
        CHECK(diffRuleFile(first.path(), fleet.access, fleet.report) == ExitCode::Ok);
        CHECK(fleet.hasSaid("from revision 2"));
        CHECK(fleet.hasSaid("-2: match /record"));
    }
}

TEST_CASE("instances are asked" * doctest::test_suite("cli"))
{
    Fleet fleet;
    const std::string id = "00000000000000020000000000000007";
    SUBCASE("for their status")
    {
        CHECK(showStatus(fleet.access, fleet.report) == ExitCode::Ok);
        CHECK(fleet.hasSaid("i2 in a at :0: ready, rules 1000, 4 requests in flight"));
        fleet.access.onCall = nullptr;
        CHECK(showStatus(fleet.access, fleet.report) == ExitCode::Failure);
        CHECK(fleet.hasSaid("does not answer"));
        fleet.access.listed.reset();
        CHECK(showStatus(fleet.access, fleet.report) == ExitCode::Failure);
    }
    SUBCASE("about a request, first the one that took it")
    {
        CHECK(explainRequest(id, fleet.access, fleet.report) == ExitCode::Ok);
        CHECK(fleet.access.calls == std::vector<std::string> { "i1 GET /v1/requests/" + id });
        fleet.access.onCall = [](const Instance&, const HttpRequest&) { return HttpResponse { 200, "application/json", R"({"lines":["arrived","answered"]})" }; };
        CHECK(explainRequest(id, fleet.access, fleet.report) == ExitCode::Ok);
        CHECK(fleet.hasSaid("i1:\narrived\nanswered\n"));
        CHECK(cancelRequest("12", fleet.access, fleet.report) == ExitCode::Usage);
        fleet.access.onCall = [](const Instance&, const HttpRequest&) { return HttpResponse { 404, "text/plain", "" }; };
        CHECK(cancelRequest(id, fleet.access, fleet.report) == ExitCode::Failure);
        CHECK(fleet.hasSaid("has this request in flight"));
        CHECK(fleet.access.calls.size() == 5);
    }
}

TEST_CASE("exit codes tell usage from failure" * doctest::test_suite("cli"))
{
    std::string said;
    CHECK(runCli({ "--help" }, said) == 0);
    CHECK(runCli({ "--version" }, said) == 0);
    CHECK(said.find(LYCHEEFIELD_VERSION) != std::string::npos);
    CHECK(runCli({}, said) == 2);
    CHECK(runCli({ "check" }, said) == 2);
    CHECK(runCli({ "status", "--platform", "localhost:80" }, said) == 2);
    CHECK(runCli({ "status", "--settings", "/nonexistent" }, said) == 2);
    CHECK(runCli({ "check", "/nonexistent" }, said) == 1);
    CHECK(runCli({ "settings", "--log-format", "json" }, said) == 0);
    CHECK(said.starts_with("{\"line\":"));
    CHECK(runCli({ "check", "/nonexistent", "--log-format", "json" }, said) == 1);
    CHECK(said.starts_with("{\"error\":"));
}

}
