#include "history/recorded_history.h"

#include "claims/claim_log.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace lycheefield::history {

namespace {

const std::string orderId = "00000000000000070000000000000001";
const std::string searchId = "00000000000000070000000000000002";
const std::string recordId = "00000000000000070000000000000003";

std::string quoted(std::string text)
{
    for (std::size_t at = 0; (at = text.find_first_of("\"\\", at)) != std::string::npos; at += 2)
        text.insert(at, "\\");
    return '"' + text + '"';
}

/// One search of two shards, one record, one order and one change of rules: everything holds. A test
/// changes one part of it.
struct Parts {
    std::string searchEcho = "s";
    std::string searchVersion = "3";
    std::string secondBatch = "b1";
    std::string covered = "[0,1]";
    std::string searchAnsweredBy = searchId;
    std::string orderRun = R"("run":"ran")";
    std::string orderOutcome; ///< An error in place of the order's results.
    std::string orderStatus = "200";
    std::string orderSecondRun;
    std::string faultExcuses = "true";
    std::string storeClaims = "C key " + orderId + " 1 1\nO key " + orderId + " r answer\n";
    std::string storedBy = "ngozi";
    std::string verdict = "accepted";
    std::string revisions = R"({"type":"revision","life":"i0-1","revision":1}
{"type":"revision","life":"i0-1","revision":2})";
    std::string extra;
    bool isSearchAnswered = true;

    std::string call(const std::string& kind, const std::string& key, const std::string& body, const std::string& id, const std::string& status, const std::string& answer) const
    {
        const std::string reply = answer.empty() ? "" : R"(,"answered_us":2000000,"status":)" + status + R"(,"request":")" + id + R"(","answer":)" + quoted(answer);
        return R"({"type":"call","target":"127.0.0.1:1","kind":")" + kind + R"(","key":")" + key + R"(","body":")" + body + R"(","sent_us":1500000,"deadline_us":3500000)" + reply + "}";
    }
    static std::string answer(const std::string& id, const std::string& coverage, const std::string& batches, const std::string& results)
    {
        const std::string total = std::count(results.begin(), results.end(), '}') > 2 ? "2" : "1";
        return R"({"request":")" + id + R"(","run":"ran","snapshot":3,"epoch":1,"coverage":{"complete":true,"covered":)" + coverage + R"(,"total":)" + total
            + R"(,"batches":)" + batches + R"(,"missing":[]},"results":[)" + results + "]}";
    }
    static std::string result(const std::string& shard, const std::string& version, const std::string& echo)
    {
        return R"({"shard":)" + shard + R"(,"result":{"version":)" + version + R"(,"echo":")" + echo + R"("}})";
    }
    static std::string legs(const std::string& id, const std::string& kind, const std::string& body, const std::string& shard)
    {
        const std::string key = R"("request":")" + id + R"(","leg":)" + shard + R"(,"attempt":0,"shard":)" + shard + R"(,"version":3,"epoch":1)";
        return R"({"type":"run",)" + key + R"(,"kind":")" + kind + R"(","server":"desk-0-0","body":")" + body + R"(","at_us":1600000})" + "\n"
            + R"({"type":"output",)" + key + R"(,"batches":["b)" + shard + R"("]})" + "\n";
    }

    std::string lines() const
    {
        const auto search = answer(searchAnsweredBy, covered, R"(["b0",")" + secondBatch + R"("])", result("0", "3", "s") + "," + result("1", searchVersion, searchEcho));
        const auto order = orderOutcome.empty() ? answer(orderId, "[0]", R"(["b0"])", result("0", "3", "o"))
                                                : R"({"request":")" + orderId + R"(",)" + orderRun + R"(,"snapshot":0,"epoch":0,"coverage":{},"error":{"kind":")" + orderOutcome + R"(","message":"m","remedy":"r"}})";
        const auto record = answer(recordId, "[1]", R"(["b1"])", result("1", "3", "r"));
        std::string text = call("search", "", "s", searchId, "200", isSearchAnswered ? search : "") + "\n" + call("record", "", "r", recordId, "200", record) + "\n"
            + call("order", "key", "o", orderId, orderStatus, order) + "\n";
        text += legs(searchId, "search", "s", "0") + legs(searchId, "search", "s", "1") + legs(recordId, "record", "r", "1") + legs(orderId, "order", "o", "0") + orderSecondRun;
        text += R"({"type":"service","shards":2})"
                "\n"
                R"({"type":"fault","name":"kill","target":"127.0.0.1:9","from_us":1400000,"to_us":5000000,"excuses_unknown":)"
            + faultExcuses + "}\n" + R"({"type":"operator","who":"ngozi","verdict":")" + verdict + R"(","revision":2,"at_us":1500000})" + "\n" + revisions + "\n" + extra;
        return text;
    }
    std::string store() const
    {
        const auto rules = [](const std::string& revision, const std::string& who) {
            return quoted(R"({"revision":)" + revision + R"(,"applyId":"a","who":")" + who + R"(","when":"","text":""})");
        };
        return R"({"revision":9,"objects":[{"key":"claims/0/head","version":1,"value":)" + quotedLines(ClaimLog::headText({}, storeClaims)) + R"(},{"key":"rules/current","version":2,"value":)"
            + rules("2", storedBy) + R"(},{"key":"rules/history/1","version":1,"value":)" + rules("1", "start") + "}]}";
    }
    static std::string quotedLines(const std::string& text)
    {
        auto out = quoted(text);
        for (std::size_t at = 0; (at = out.find('\n', at)) != std::string::npos; at += 2)
            out.replace(at, 1, "\\n");
        return out;
    }
};

std::vector<std::string> judge(const Parts& parts)
{
    RecordedHistory history;
    history.addStore(parts.store());
    const auto text = parts.lines();
    std::string_view rest = text;
    while (!rest.empty()) {
        const auto end = rest.find('\n');
        if (end != 0)
            history.add(rest.substr(0, end));
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return history.violations();
}

bool isSeen(const Parts& parts, std::string_view violation)
{
    const auto found = judge(parts);
    std::string all;
    for (const auto& it : found)
        all += it + "\n";
    CAPTURE(all);
    const bool isNamed = std::any_of(found.begin(), found.end(), [&](const auto& it) { return it.find(violation) != std::string::npos; });
    CHECK(isNamed);
    return isNamed;
}

}

TEST_CASE("a recorded history in which all holds is green, and with one thing changed the checker sees it" * doctest::test_suite("history"))
{
    Parts parts;
    for (const auto& it : judge(parts))
        FAIL_CHECK(it);

    SUBCASE("an order that ran twice, under another request")
    {
        parts.orderSecondRun = Parts::legs("00000000000000080000000000000001", "order", "o", "0");
        CHECK(isSeen(parts, "order o ran 2 times"));
        CHECK(isSeen(parts, "the store holds no claim of its request"));
    }
    SUBCASE("an order told not run that ran")
    {
        parts.orderRun = R"("run":"not run")";
        parts.orderOutcome = "unavailable";
        parts.orderStatus = "503";
        CHECK(isSeen(parts, "was told not run, and it ran"));
    }
    SUBCASE("an order told ran that did not")
    {
        parts.storeClaims.clear();
        parts.extra = parts.call("order", "other", "p", "00000000000000070000000000000009", "200",
            Parts::answer("00000000000000070000000000000009", "[0]", R"(["b0"])", Parts::result("0", "3", "p")));
        CHECK(isSeen(parts, "(p) was told ran, and it did not"));
    }
    SUBCASE("an order told unknown that no fault excuses")
    {
        parts.orderRun = R"("run":"unknown")";
        parts.orderOutcome = "unknown-outcome";
        parts.orderStatus = "502";
        CHECK_FALSE(judge(parts).empty()); // No order ran to its end: nothing is proved.
        parts.faultExcuses = "false";
        CHECK(isSeen(parts, "was told unknown, and no fault excuses it"));
    }
    SUBCASE("results of two snapshots in one answer")
    {
        parts.searchVersion = "4";
        CHECK(isSeen(parts, "a result of another snapshot"));
    }
    SUBCASE("coverage that names a shard without a result")
    {
        parts.covered = "[0,1,2]";
        CHECK(isSeen(parts, "coverage names other shards than the results"));
    }
    SUBCASE("coverage that names a batch that no server gave")
    {
        parts.secondBatch = "b7";
        CHECK(isSeen(parts, "claims shard 1 of a snapshot that no server gave"));
    }
    SUBCASE("a result of another caller")
    {
        parts.searchEcho = "t";
        CHECK(isSeen(parts, "holds a result of another request"));
    }
    SUBCASE("the whole answer of another caller")
    {
        parts.searchAnsweredBy = recordId;
        CHECK(isSeen(parts, "got the answer of " + recordId));
    }
    SUBCASE("no answer, though nobody stopped the instance asked")
    {
        parts.isSearchAnswered = false;
        CHECK(isSeen(parts, "got no answer"));
    }
    SUBCASE("a revision that falls")
    {
        parts.revisions += R"(
{"type":"revision","life":"i0-1","revision":1})";
        CHECK(isSeen(parts, "i0-1 went back to a lower revision"));
    }
    SUBCASE("an operator told accepted whose rules the store lacks")
    {
        parts.storedBy = "thanh";
        CHECK(isSeen(parts, "ngozi was told accepted, and the store does not hold these rules"));
    }
    SUBCASE("an operator told that nothing was changed whose rules were taken")
    {
        parts.verdict = "refused";
        CHECK(isSeen(parts, "ngozi was told that nothing was changed, and the rules were taken"));
    }
    SUBCASE("an operator told unknown without a fault, or nothing")
    {
        parts.faultExcuses = "false";
        parts.verdict = "unknown";
        CHECK(isSeen(parts, "ngozi was told unknown, and no fault excuses it"));
        parts.verdict = "none";
        CHECK(isSeen(parts, "ngozi was told nothing"));
    }
    SUBCASE("a release in the store of an order that ran")
    {
        parts.storeClaims += "R key " + orderId + "\n";
        CHECK(isSeen(parts, "the store released key key, and its order ran"));
    }
    SUBCASE("an outcome in the store of an order that did not run")
    {
        parts.storeClaims += "O other 00000000000000090000000000000001 r answer\n";
        CHECK(isSeen(parts, "the store says that key other ran, and it did not"));
    }
    SUBCASE("new work for a server that drains")
    {
        parts.extra = R"({"type":"drain","server":"desk-1-0","at_us":1500000}
{"type":"receive","server":"desk-1-0","at_us":3600000})";
        CHECK(isSeen(parts, "desk-1-0 got new work more than 2 s after it began to drain"));
    }
    SUBCASE("more connections than the cap")
    {
        parts.extra = R"({"type":"connections","server":"desk-1-0","most":26,"cap":25})";
        CHECK(isSeen(parts, "above its cap"));
    }
    SUBCASE("a history in which nobody's rules came into force proves nothing")
    {
        parts.verdict = "refused";
        parts.storedBy = "thanh";
        CHECK(isSeen(parts, "no operator's rules were accepted"));
    }
    SUBCASE("a fault after which nothing was asked proves nothing")
    {
        parts.extra = R"({"type":"fault","name":"outage","target":"","from_us":4000000,"to_us":5000000,"excuses_unknown":true})";
        CHECK(isSeen(parts, "no search was answered completely after the last fault began"));
    }
    SUBCASE("what the script saw itself counts")
    {
        parts.extra = R"({"type":"violation","what":"i3 ended with 1 after SIGTERM"})";
        CHECK(isSeen(parts, "i3 ended with 1"));
    }
}

}
