#include "settings/setting_key.h"

#include <doctest/doctest.h>

#include <set>

namespace lycheefield {

namespace {

const std::string required = "[instance]\nname = i1\nzone = ikeja-a\n[platform]\nport = 7000\n";

Settings settingsOf(const std::string& text)
{
    auto parsed = parseSettings(text, "test.ini");
    REQUIRE(std::holds_alternative<Settings>(parsed));
    return std::get<Settings>(parsed);
}

std::vector<SettingError> errorsOf(const std::string& text)
{
    auto parsed = parseSettings(text, "test.ini");
    REQUIRE(std::holds_alternative<std::vector<SettingError>>(parsed));
    return std::get<std::vector<SettingError>>(parsed);
}

}

TEST_CASE("A settings file sets the keys that it names" * doctest::test_suite("settings"))
{
    SUBCASE("Keys absent from the file keep their defaults")
    {
        const auto settings = settingsOf(required);
        CHECK(settings.instance.name == InstanceName("i1"));
        CHECK(settings.instance.zone == ZoneName("ikeja-a"));
        CHECK(settings.platform.endpoint == Endpoint { "127.0.0.1", 7000 });
        CHECK(settings.relay == RelaySettings());
        CHECK(settings.reachableAddress() == "127.0.0.1");
    }
    SUBCASE("The parser reads every type of value, comments, blanks and CR LF")
    {
        const auto settings = settingsOf(required
            + "[query]\n  hedge = off ; for a trial\n# whole line\n\nhedge_quantile=99.9%\n"
              "[instance]\nrouting: direct\nlog_format = json\n[http]\r\nmax_body = 64KiB\r\n[listen]\nhttp_port = 8080\n[claims]\nbatch_window = 500us");
        CHECK_FALSE(settings.query.hedge);
        CHECK(settings.query.hedgeQuantile == percent(99.9));
        CHECK(settings.instance.routing == Routing::Direct);
        CHECK(settings.instance.logFormat == LogFormat::Json);
        CHECK(settings.http.maxBody == kibibytes(64));
        CHECK(settings.listen.httpPort == 8080);
        CHECK(settings.claims.batchWindow == std::chrono::microseconds(500));
    }
    SUBCASE("The parser reads the keys of section claims")
    {
        const auto claims = settingsOf(required
            + "[claims]\nmax_head = 64KiB\nmax_key = 100B\nmax_answer = 0B\nmax_waiting = 5\nmax_unsettled = 6\noutcome_delay = 0ms\nretry_first = 1ms\nretry_most = 2s")
                                .claims;
        CHECK(claims.maxHead == kibibytes(64));
        CHECK(claims.maxKey == ByteCount { 100 });
        CHECK(claims.maxAnswer == ByteCount());
        CHECK(claims.maxWaitingPerPartition == 5);
        CHECK(claims.maxUnsettledPerPartition == 6);
        CHECK(claims.outcomeDelay == Duration());
        CHECK(claims.initialBackoff == std::chrono::milliseconds(1));
        CHECK(claims.maxBackoff == std::chrono::seconds(2));
    }
    SUBCASE("A platform may choose names of any letters")
    {
        for (const auto* it : { "edge@10.1.0.9:8104", "huế-a", "A+b=c", "x" }) {
            CAPTURE(it);
            const auto settings = settingsOf("[instance]\nname = " + std::string(it) + "\nzone = " + it + "\n[platform]\nport = 7000\n");
            CHECK(settings.instance.name == InstanceName(it));
            CHECK(settings.instance.zone == ZoneName(it));
        }
        for (const auto* it : { "a b", "a/b", "a\\b", "a\"b", "a\x7f" })
            CHECK_FALSE(errorsOf("[instance]\nname = " + std::string(it) + "\nzone = z\n[platform]\nport = 7000\n").empty());
    }
    SUBCASE("The settings files of the examples are valid")
    {
        for (const auto* it : { "kobowire", "sac-ngoi" }) {
            const auto parsed = loadSettings(std::string(LYCHEEFIELD_SOURCE_DIR "/examples/") + it + "/settings.ini");
            CHECK(std::holds_alternative<Settings>(parsed));
        }
    }
}

TEST_CASE("The parser reports all errors of a settings file at once" * doctest::test_suite("settings"))
{
    SUBCASE("Each error names file, line, key and the allowed values")
    {
        const auto errors = errorsOf("[instance]\nname = \nzone = a b\nthreads = 0\nthreads = 2\n[nowhere]\nx = 1\nno sense\n[query]\nhedge = yes\n");
        REQUIRE(errors.size() == 8);
        const std::vector<std::pair<std::uint32_t, std::string>> expected { { 2, "instance.name" }, { 3, "instance.zone" }, { 4, "instance.threads" },
            { 5, "instance.threads" }, { 7, "nowhere.x" }, { 8, "" }, { 10, "query.hedge" }, { 0, "platform.port" } };
        for (std::size_t i = 0; i < expected.size(); ++i) {
            CAPTURE(i);
            CHECK(errors[i].file == "test.ini");
            CHECK(errors[i].line == expected[i].first);
            CHECK(errors[i].key == expected[i].second);
            CHECK_FALSE(errors[i].allowed.empty());
        }
        CHECK(errors[2].allowed == "whole number from 1 to 256");
        CHECK(errors[6].allowed == "on or off");
    }
    SUBCASE("Each missing required key is an error")
    {
        const auto errors = errorsOf("");
        REQUIRE(errors.size() == 3);
        CHECK(errors[0].key == "instance.name");
        CHECK(errors[0].line == 0);
        CHECK(errors[2].key == "platform.port");
    }
    SUBCASE("A value out of range, of a wrong unit or too long is an error")
    {
        for (const auto* it : { "[listen]\nhttp_port = 65536", "[listen]\nhttp_port = -1", "[listen]\naddress = localhost", "[listen]\naddress = 1.2.3.4.5",
                 "[listen]\naddress = 256.0.0.1", "[relay]\nowner_share_of_cap = 51%", "[drain]\nlimit = 60", "[http]\nmax_body = 17MiB", "[query", "= 3" })
            CHECK_FALSE(errorsOf(required + it).empty());
        CHECK(errorsOf(required + "[listen]\naddress = " + std::string(300, '1') + "\nhttp_port = x").size() == 3);
    }
    SUBCASE("Valid values that do not fit each other are an error")
    {
        CHECK(errorsOf(required + "[membership]\nprobe_timeout = 2s\nprobe_period = 1s").front().key == "membership.probe_timeout");
        CHECK(errorsOf(required + "[claims]\nretry_first = 2s\nretry_most = 1s").front().key == "claims.retry_first");
        CHECK(errorsOf(required + "[listen]\naddress = 0.0.0.0").front().key == "listen.advertised_address");
    }
    SUBCASE("A gateway requires the endpoints of the store and of readiness, and no platform port")
    {
        const std::string gateway = "[instance]\nname = a\nzone = z\n[gateway]\ncallers = 127.0.0.1:8104\n";
        const auto errors = errorsOf(gateway);
        REQUIRE(errors.size() == 2);
        CHECK(errors[0].key == "gateway.store");
        CHECK(errors[1].key == "gateway.readiness");
        const auto complete = gateway + "store = 10.0.0.7:8102\nreadiness = 127.0.0.1:8108\n[forward]\nretry_ratio = 0.25\n";
        const auto parsed = parseSettings(complete, "gateway.ini");
        REQUIRE(std::holds_alternative<Settings>(parsed));
        CHECK(std::get<Settings>(parsed).gateway.store == Endpoint { "10.0.0.7", 8102 });
        CHECK(std::get<Settings>(parsed).forward.retryRatio == Share { 0.25 });
        for (const auto* it : { "[gateway]\nstore = 10.0.0.7", "[gateway]\nstore = host:80", "[forward]\nretry_ratio = 1.5", "[forward]\nretry_ratio = 2" })
            CHECK_FALSE(errorsOf(gateway + it).empty());
    }
    SUBCASE("A missing file is one error")
    {
        const auto parsed = loadSettings("/nonexistent/settings.ini");
        REQUIRE(std::holds_alternative<std::vector<SettingError>>(parsed));
        CHECK(std::get<std::vector<SettingError>>(parsed).size() == 1);
    }
}

TEST_CASE("Each key in the table of settings has its own name, member, allowed values and purpose" * doctest::test_suite("settings"))
{
    std::set<std::string> names;
    std::set<void*> members;
    Settings settings;
    for (const auto& it : settingKeys()) {
        CAPTURE(it.fullName());
        CHECK(names.insert(it.fullName()).second);
        CHECK(members.insert(std::visit([](auto* member) { return static_cast<void*>(member); }, it.field(settings))).second);
        CHECK_FALSE(it.allowed().empty());
        CHECK_FALSE(it.doc.empty());
        if (!it.required && !it.defaultText().empty())
            CHECK(it.assign(settings, it.defaultText()) == SettingOutcome::Set);
        // At least two blanks separate a column from the next, however long its text.
        CHECK(describeSettings().find("\n" + it.fullName() + "  ") != std::string::npos);
        CHECK(describeSettings().find("  " + it.allowed() + "  ") != std::string::npos);
    }
    CHECK(settings == Settings());
}

}
