#include "settings/settings.h"

#include <doctest/doctest.h>

#include <fstream>
#include <map>
#include <sstream>

namespace lycheefield {

namespace {

using Placeholders = std::map<std::string, std::string>;

/// Keeps the content of each section whose value is present and not false, and removes the others.
void fillSections(std::string& text, const Placeholders& values)
{
    for (auto at = text.find("{{#"); at != std::string::npos; at = text.find("{{#")) {
        const auto nameEnd = text.find("}}", at);
        const auto name = text.substr(at + 3, nameEnd - at - 3);
        const auto closing = "{{/" + name + "}}";
        const auto end = text.find(closing, at);
        REQUIRE(end != std::string::npos);
        const auto it = values.find(name);
        const bool isKept = it != values.end() && !it->second.empty() && it->second != "false";
        const auto content = isKept ? text.substr(nameEnd + 2, end - nameEnd - 2) : "";
        text.replace(at, end + closing.size() - at, content);
    }
}

std::string readTemplate()
{
    std::ifstream file(LYCHEEFIELD_SOURCE_DIR "/deploy/gateway.ini");
    std::stringstream buf;
    buf << file.rdbuf();
    return buf.str();
}

void fillPlaceholders(std::string& text, const Placeholders& values)
{
    for (const auto& [name, value] : values) {
        const auto placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder))
            text.replace(at, placeholder.size(), value);
    }
}

/// Returns the text of the template with each placeholder replaced by its value.
std::string fillTemplate(const Placeholders& values)
{
    auto text = readTemplate();
    fillSections(text, values);
    fillPlaceholders(text, values);
    REQUIRE(text.find("{{") == std::string::npos);
    return text;
}

Placeholders wholeNumbers()
{
    return {
        { "nodeName", "edge-1" },
        { "zone", "ikeja-a" },
        { "portRange.0", "7380" },
        { "listenAddrs.front", "10.1.0.9:8104" },
        { "listenAddrs.readyAddr", "10.1.0.9:8108" },
        { "platform.address", "10.200.1.7:8102" },
        { "limits.cpuShare", "0.25" },
        { "heartbeatMs", "1200" },
        { "bounds.configApplyMs", "3000" },
        { "bounds.drainMs", "3000" },
        { "bounds.graceS", "6" },
        { "bounds.retryBudgetRatio", "0.2" },
        { "bounds.retrySlack", "58" },
        { "bounds.budgetWindowS", "10" },
    };
}

Settings settingsOf(const Placeholders& values)
{
    const auto parsed = parseSettings(fillTemplate(values), "gateway.ini");
    if (const auto* errors = std::get_if<std::vector<SettingError>>(&parsed))
        FAIL(errors->front());
    return std::get<Settings>(parsed);
}

}

TEST_CASE("The settings template takes the numbers of any deployment" * doctest::test_suite("adapter"))
{
    auto values = wholeNumbers();

    SUBCASE("Whole numbers")
    {
        const auto settings = settingsOf(values);
        CHECK(settings.forward.retrySlack == 58);
        CHECK(settings.forward.retryWindow == std::chrono::seconds(10));
        CHECK(settings.gateway.stopLimit == std::chrono::seconds(6));
        CHECK(settings.gateway.renewalPeriod == std::chrono::milliseconds(1200));
    }
    SUBCASE("Bounds with decimal places, as in a deployment that divides the bounds of a larger one")
    {
        values["bounds.retrySlack"] = "33.1578947368421";
        values["bounds.budgetWindowS"] = "10.0";
        values["bounds.graceS"] = "6.5";
        values["bounds.configApplyMs"] = "2999.9999999999995";
        values["bounds.drainMs"] = "3000.0";
        const auto settings = settingsOf(values);
        CHECK(settings.forward.retrySlack == doctest::Approx(33.157894));
        CHECK(settings.forward.retryWindow == std::chrono::seconds(10));
        CHECK(settings.gateway.stopLimit == std::chrono::milliseconds(6500));
        CHECK(settings.gateway.configurationLimit == std::chrono::seconds(3));
        CHECK(settings.gateway.serversLimit == std::chrono::seconds(3));
    }
    SUBCASE("Short bounds")
    {
        values["bounds.graceS"] = "0.5";
        values["bounds.configApplyMs"] = "200";
        values["bounds.drainMs"] = "150.5";
        CHECK(settingsOf(values).gateway.serversLimit == std::chrono::microseconds(150500));
    }
    SUBCASE("Shares in any notation")
    {
        values["limits.cpuShare"] = "1";
        values["bounds.retryBudgetRatio"] = "0.30000000000000004";
        CHECK(settingsOf(values).gateway.cores == Share { 1 });
        values["limits.cpuShare"] = "0.005";
        values["bounds.retryBudgetRatio"] = "1.0";
        CHECK(settingsOf(values).forward.retryRatio == Share { 1 });
        values["bounds.retryBudgetRatio"] = "5e-2";
        CHECK(settingsOf(values).forward.retryRatio.value == doctest::Approx(0.05));
    }
    // Guards against a gateway that ends at its start because the deployment lacks a bound.
    SUBCASE("A platform that knows neither sections nor the newer bounds leaves their defaults")
    {
        auto text = readTemplate();
        fillPlaceholders(text, wholeNumbers());
        const auto parsed = parseSettings(text, "gateway.ini");
        if (const auto* errors = std::get_if<std::vector<SettingError>>(&parsed))
            FAIL(errors->front());
        const auto& settings = std::get<Settings>(parsed);
        CHECK(settings.gateway.zoneDrainLimit == 0s);
        CHECK(settings.admission == AdmissionSettings());
        CHECK(settings.forward.warmupTolerance == ForwardSettings().warmupTolerance);
        CHECK(settings.forward.retrySlack == 58);
    }
    SUBCASE("Bounds that only some deployments have are taken where they are present")
    {
        auto values = wholeNumbers();
        values["bounds.evacuateMs"] = "5000";
        values["bounds.warmupOvershoot"] = "1.5";
        values["bounds.warmupSlack"] = "5";
        values["bounds.strictRevoke"] = "true";
        values["bounds.revokeMs"] = "4000";
        values["bounds.quotaWindowS"] = "6";
        values["bounds.quotaOvershoot"] = "0.2";
        values["bounds.quotaSlack"] = "30";
        const auto settings = settingsOf(values);
        CHECK(settings.adjusted.empty());
        CHECK(settings.gateway.zoneDrainLimit == 5s);
        CHECK(settings.forward.warmupTolerance == 1.5);
        CHECK(settings.forward.warmupSlack == 5);
        CHECK(settings.admission == AdmissionSettings { 4s, 6s, Share { 0.2 }, 30 });
        values["bounds.strictRevoke"] = "false";
        CHECK(settingsOf(values).admission.revocationLimit == 0s);
    }
    SUBCASE("A bound that the deployment lacks leaves its default")
    {
        for (const auto* it : { "limits.cpuShare", "heartbeatMs", "bounds.configApplyMs", "bounds.drainMs", "bounds.graceS", "bounds.retryBudgetRatio", "bounds.retrySlack", "bounds.budgetWindowS" })
            values[it] = "";
        const auto settings = settingsOf(values);
        CHECK(settings.gateway.stopLimit == GatewaySettings().stopLimit);
        CHECK(settings.gateway.cores == GatewaySettings().cores);
        CHECK(settings.forward == ForwardSettings());
        CHECK(settings.adjusted.size() == 8);
    }
    SUBCASE("A bound outside the allowed range becomes the nearest allowed value")
    {
        for (const auto* it : { "limits.cpuShare", "heartbeatMs", "bounds.configApplyMs", "bounds.drainMs", "bounds.graceS", "bounds.retryBudgetRatio", "bounds.retrySlack", "bounds.budgetWindowS" })
            values[it] = "0";
        const auto settings = settingsOf(values);
        CHECK(settings.gateway.stopLimit == std::chrono::milliseconds(100));
        CHECK(settings.gateway.configurationLimit == std::chrono::milliseconds(10));
        CHECK(settings.gateway.cores == Share { 0.001 });
        CHECK(settings.forward.retryWindow == std::chrono::seconds(1));
        CHECK(settings.forward.retrySlack == 0);
        CHECK(settings.adjusted == std::vector<std::string> { "gateway.cores", "gateway.configuration_limit", "gateway.servers_limit", "gateway.renewal_period", "gateway.stop_limit", "forward.retry_window" });
        values["bounds.graceS"] = "1e9";
        CHECK(settingsOf(values).gateway.stopLimit == std::chrono::hours(1));
    }
    SUBCASE("An address or a name that is missing is an error")
    {
        for (const auto* it : { "nodeName", "zone", "listenAddrs.front", "listenAddrs.readyAddr", "platform.address" }) {
            CAPTURE(it);
            auto incomplete = values;
            incomplete[it] = "";
            CHECK(std::holds_alternative<std::vector<SettingError>>(parseSettings(fillTemplate(incomplete), "gateway.ini")));
        }
    }
    SUBCASE("Text in place of a number is an error")
    {
        for (const auto* it : { "many", "-1", "1,5", "inf", "nan", "ms" }) {
            CAPTURE(it);
            values["bounds.retrySlack"] = it;
            CHECK(std::holds_alternative<std::vector<SettingError>>(parseSettings(fillTemplate(values), "gateway.ini")));
        }
    }
}

}
