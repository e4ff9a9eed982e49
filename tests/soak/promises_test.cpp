#include "promises.h"

#include <doctest/doctest.h>

namespace lycheefield::soak {

namespace {

Attempt search()
{
    Attempt attempt;
    attempt.id = "x1";
    attempt.method = "GET";
    attempt.target = "/s/x1";
    attempt.isSearch = true;
    return attempt;
}

Run runOf(const std::string& service, const std::string& server, char record)
{
    return { service, server, server + ".1", "x1", "GET", "/s/x1", "", std::string(16, record), 200 };
}

AttemptEnd answer(const std::string& signatures, const std::string& missing, const std::string& body)
{
    AttemptEnd end;
    end.isAnswered = true;
    end.reply.body = body;
    end.reply.headers.add("Lycheefield-Part-Stamps", signatures);
    end.reply.headers.add("Lycheefield-Missing-Parts", missing);
    return end;
}

}

TEST_CASE("the soak's checker" * doctest::test_suite("soak"))
{
    Promises promises({ "a", "b" }, 1, 2, 1);
    promises.onSent(search());
    promises.onRun(runOf("a", "a1", 'p'));
    promises.onRun(runOf("b", "b1", 'q'));

    SUBCASE("takes a true answer")
    {
        promises.onEnd("x1", answer("a1.1, b1.1", "0", std::string(16, 'q')));
        promises.checkAll();
        CHECK(promises.broken().empty());
        CHECK(promises.checks() > 0);
    }
    SUBCASE("and a partial one that says so")
    {
        promises.onEnd("x1", answer("a1.1", "1", std::string(16, 'p')));
        promises.checkAll();
        CHECK(promises.broken().empty());
    }
    SUBCASE("but not one that hides what is missing, names a strange part or gives wrong records")
    {
        const std::vector<AttemptEnd> wrong { answer("a1.1", "0", std::string(16, 'p')), answer("a1.1, b1.7", "0", std::string(16, 'q')), answer("a1.1, b1.1", "0", std::string(16, 'p')) };
        for (const auto& it : wrong) {
            Promises each = promises;
            each.onEnd("x1", it);
            each.checkAll();
            CHECK(each.broken().size() == 1);
        }
    }
    SUBCASE("a third server of one shard is one too many")
    {
        promises.onRun(runOf("a", "a2", 'p'));
        promises.onRun(runOf("a", "a3", 'p'));
        promises.onEnd("x1", answer("a1.1, b1.1", "0", std::string(16, 'q')));
        promises.checkAll();
        CHECK(promises.broken().size() == 1);
    }
    SUBCASE("an order that ran was not \"not run\", and runs once")
    {
        auto order = search();
        order.id = "x2";
        order.isSearch = false;
        order.isIdempotent = false;
        promises.onSent(order);
        auto run = runOf("a", "a1", 'p');
        run.attemptId = "x2";
        promises.onRun(run);
        AttemptEnd refused;
        refused.isAnswered = true;
        refused.reply.status = 503;
        promises.onEnd("x2", refused);
        promises.checkAll();
        CHECK(promises.broken().size() == 1);
        promises.onRun(run);
        promises.checkAll();
        CHECK(promises.broken().size() == 2);
    }
    SUBCASE("a route that is in force is not denied, one that was dropped is")
    {
        for (const bool isRouted : { true, false }) {
            Promises each({ "a" }, 1, 2, 1);
            auto probe = search();
            probe.isRouted = isRouted;
            each.onSent(probe);
            AttemptEnd end;
            end.isAnswered = true;
            end.reply.status = isRouted ? 404 : 503;
            each.onEnd("x1", end);
            each.checkAll();
            CHECK(each.broken().size() == 1);
        }
    }
    SUBCASE("nobody's request and a changed one are seen at once")
    {
        auto run = runOf("a", "a1", 'p');
        run.attemptId = "y";
        promises.onRun(run);
        run = runOf("a", "a1", 'p');
        run.target = "/other";
        promises.onRun(run);
        CHECK(promises.broken().size() == 2);
    }
}

}
