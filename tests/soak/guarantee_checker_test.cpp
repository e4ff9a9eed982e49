#include "guarantee_checker.h"

#include <doctest/doctest.h>

namespace lycheefield::soak {

namespace {

SoakRequest search()
{
    SoakRequest request;
    request.id = "x1";
    request.method = "GET";
    request.target = "/s/x1";
    request.isSearch = true;
    return request;
}

ServerRun runOf(const std::string& service, const std::string& server, char record)
{
    return { service, server, server + ".1", "x1", "GET", "/s/x1", "", std::string(16, record), 200 };
}

RequestOutcome answer(const std::string& signatures, const std::string& missing, const std::string& body)
{
    RequestOutcome outcome;
    outcome.isAnswered = true;
    outcome.response.body = body;
    outcome.response.headers.add("Lycheefield-Part-Stamps", signatures);
    outcome.response.headers.add("Lycheefield-Missing-Parts", missing);
    return outcome;
}

}

TEST_CASE("The guarantee checker of the soak test accepts correct answers and reports violations" * doctest::test_suite("soak"))
{
    GuaranteeChecker checker({ "a", "b" }, 1, 2, 1);
    checker.onSent(search());
    checker.onRun(runOf("a", "a1", 'p'));
    checker.onRun(runOf("b", "b1", 'q'));

    SUBCASE("The checker accepts a complete search answer")
    {
        checker.onOutcome("x1", answer("a1.1, b1.1", "0", std::string(16, 'q')));
        checker.checkAll();
        CHECK(checker.violations().empty());
        CHECK(checker.checks() > 0);
    }
    SUBCASE("The checker accepts a partial search answer that reports its missing shard")
    {
        checker.onOutcome("x1", answer("a1.1", "1", std::string(16, 'p')));
        checker.checkAll();
        CHECK(checker.violations().empty());
    }
    SUBCASE("The checker reports a search answer with an unreported missing shard, an unknown part or wrong records")
    {
        const std::vector<RequestOutcome> wrong { answer("a1.1", "0", std::string(16, 'p')), answer("a1.1, b1.7", "0", std::string(16, 'q')), answer("a1.1, b1.1", "0", std::string(16, 'p')) };
        for (const auto& it : wrong) {
            GuaranteeChecker each = checker;
            each.onOutcome("x1", it);
            each.checkAll();
            CHECK(each.violations().size() == 1);
        }
    }
    SUBCASE("The checker reports a search that ran on a third server of one shard")
    {
        checker.onRun(runOf("a", "a2", 'p'));
        checker.onRun(runOf("a", "a3", 'p'));
        checker.onOutcome("x1", answer("a1.1, b1.1", "0", std::string(16, 'q')));
        checker.checkAll();
        CHECK(checker.violations().size() == 1);
    }
    SUBCASE("The checker reports an order that ran although its answer says otherwise, and one that ran twice")
    {
        auto order = search();
        order.id = "x2";
        order.isSearch = false;
        order.isIdempotent = false;
        checker.onSent(order);
        auto run = runOf("a", "a1", 'p');
        run.requestId = "x2";
        checker.onRun(run);
        RequestOutcome refused;
        refused.isAnswered = true;
        refused.response.status = 503;
        checker.onOutcome("x2", refused);
        checker.checkAll();
        CHECK(checker.violations().size() == 1);
        checker.onRun(run);
        checker.checkAll();
        CHECK(checker.violations().size() == 2);
    }
    SUBCASE("The checker reports 404 for a route in force and any other status for a dropped route")
    {
        for (const bool isRouted : { true, false }) {
            GuaranteeChecker each({ "a" }, 1, 2, 1);
            auto probe = search();
            probe.isRouted = isRouted;
            each.onSent(probe);
            RequestOutcome outcome;
            outcome.isAnswered = true;
            outcome.response.status = isRouted ? 404 : 503;
            each.onOutcome("x1", outcome);
            each.checkAll();
            CHECK(each.violations().size() == 1);
        }
    }
    SUBCASE("The checker reports a run of an unknown request and of an altered request without waiting for the final check")
    {
        auto run = runOf("a", "a1", 'p');
        run.requestId = "y";
        checker.onRun(run);
        run = runOf("a", "a1", 'p');
        run.target = "/other";
        checker.onRun(run);
        CHECK(checker.violations().size() == 2);
    }
}

}
