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

/// A run without violations: one search of two shards, one record, one order and one change of rules. Each test
/// changes one part of it.
struct SampleRun {
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

std::vector<std::string> violationsOf(const SampleRun& sample)
{
    RecordedHistory history;
    history.addStore(sample.store());
    const auto text = sample.lines();
    std::string_view rest = text;
    while (!rest.empty()) {
        const auto end = rest.find('\n');
        if (end != 0)
            history.add(rest.substr(0, end));
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return history.violations();
}

bool isReported(const SampleRun& sample, std::string_view violation)
{
    const auto found = violationsOf(sample);
    std::string all;
    for (const auto& it : found)
        all += it + "\n";
    CAPTURE(all);
    const bool isNamed = std::any_of(found.begin(), found.end(), [&](const auto& it) { return it.find(violation) != std::string::npos; });
    CHECK(isNamed);
    return isNamed;
}

}

TEST_CASE("RecordedHistory reports no violation for a correct run, and reports each single defect added to it" * doctest::test_suite("history"))
{
    SampleRun sample;
    for (const auto& it : violationsOf(sample))
        FAIL_CHECK(it);

    SUBCASE("RecordedHistory reports an order that ran a second time under another request ID")
    {
        sample.orderSecondRun = SampleRun::legs("00000000000000080000000000000001", "order", "o", "0");
        CHECK(isReported(sample, "order o ran 2 times"));
        CHECK(isReported(sample, "the store holds no claim of its request"));
    }
    SUBCASE("RecordedHistory reports an order that ran although its caller was told that it did not run")
    {
        sample.orderRun = R"("run":"not run")";
        sample.orderOutcome = "unavailable";
        sample.orderStatus = "503";
        CHECK(isReported(sample, "was reported as not run, but ran"));
    }
    SUBCASE("RecordedHistory reports an order that did not run although its caller was told that it ran")
    {
        sample.storeClaims.clear();
        sample.extra = sample.call("order", "other", "p", "00000000000000070000000000000009", "200",
            SampleRun::answer("00000000000000070000000000000009", "[0]", R"(["b0"])", SampleRun::result("0", "3", "p")));
        CHECK(isReported(sample, "(p) was reported as ran, but did not run"));
    }
    SUBCASE("RecordedHistory reports an order whose unknown outcome no fault explains")
    {
        sample.orderRun = R"("run":"unknown")";
        sample.orderOutcome = "unknown-outcome";
        sample.orderStatus = "502";
        CHECK_FALSE(violationsOf(sample).empty()); // No order ran to its end, so the run proves nothing.
        sample.faultExcuses = "false";
        CHECK(isReported(sample, "was reported as unknown, and no fault explains the unknown outcome"));
    }
    SUBCASE("RecordedHistory reports an answer with results of two snapshots")
    {
        sample.searchVersion = "4";
        CHECK(isReported(sample, "a result of another snapshot"));
    }
    SUBCASE("RecordedHistory reports an answer whose coverage names a shard without a result")
    {
        sample.covered = "[0,1,2]";
        CHECK(isReported(sample, "coverage names other shards than the results"));
    }
    SUBCASE("RecordedHistory reports an answer whose coverage names a batch that no server returned")
    {
        sample.secondBatch = "b7";
        CHECK(isReported(sample, "reports as covered shard 1 of a snapshot that no server returned"));
    }
    SUBCASE("RecordedHistory reports an answer that contains the result of another caller")
    {
        sample.searchEcho = "t";
        CHECK(isReported(sample, "contains a result of another request"));
    }
    SUBCASE("RecordedHistory reports a caller that got the whole answer of another caller")
    {
        sample.searchAnsweredBy = recordId;
        CHECK(isReported(sample, "got the answer of " + recordId));
    }
    SUBCASE("RecordedHistory reports a missing answer when no fault stopped the caller's instance")
    {
        sample.isSearchAnswered = false;
        CHECK(isReported(sample, "got no answer"));
    }
    SUBCASE("RecordedHistory reports an instance whose rule revision decreases")
    {
        sample.revisions += R"(
{"type":"revision","life":"i0-1","revision":1})";
        CHECK(isReported(sample, "i0-1 returned to a lower revision"));
    }
    SUBCASE("RecordedHistory reports an operator whose accepted rules are not in the store")
    {
        sample.storedBy = "thanh";
        CHECK(isReported(sample, "ngozi was told that the rules were accepted, but the store does not hold them at that revision"));
    }
    SUBCASE("RecordedHistory reports an operator whose refused rules are in the store")
    {
        sample.verdict = "refused";
        CHECK(isReported(sample, "ngozi was told that the rules were not changed, but the store holds the new rules"));
    }
    SUBCASE("RecordedHistory reports an operator with no verdict, or with the verdict unknown without a fault")
    {
        sample.faultExcuses = "false";
        sample.verdict = "unknown";
        CHECK(isReported(sample, "ngozi got the verdict unknown, and no fault explains it"));
        sample.verdict = "none";
        CHECK(isReported(sample, "ngozi got no verdict"));
    }
    SUBCASE("RecordedHistory reports a claim that the store released although its order ran")
    {
        sample.storeClaims += "R key " + orderId + "\n";
        CHECK(isReported(sample, "the store released key key, but its order ran"));
    }
    SUBCASE("RecordedHistory reports an outcome in the store of an order that did not run")
    {
        sample.storeClaims += "O other 00000000000000090000000000000001 r answer\n";
        CHECK(isReported(sample, "the store records that the order of key other ran, but it did not run"));
    }
    SUBCASE("RecordedHistory reports new work sent to a draining server")
    {
        sample.extra = R"({"type":"drain","server":"desk-1-0","at_us":1500000}
{"type":"receive","server":"desk-1-0","at_us":3600000})";
        CHECK(isReported(sample, "desk-1-0 received new work more than 2 s after the start of its drain"));
    }
    SUBCASE("RecordedHistory reports a server with more connections than its cap")
    {
        sample.extra = R"({"type":"connections","server":"desk-1-0","most":26,"cap":25})";
        CHECK(isReported(sample, "above its connection cap"));
    }
    SUBCASE("RecordedHistory reports a run in which no operator's rules came into force")
    {
        sample.verdict = "refused";
        sample.storedBy = "thanh";
        CHECK(isReported(sample, "no operator's rules were accepted"));
    }
    SUBCASE("RecordedHistory reports a run without a request after the last fault")
    {
        sample.extra = R"({"type":"fault","name":"outage","target":"","from_us":4000000,"to_us":5000000,"excuses_unknown":true})";
        CHECK(isReported(sample, "no search got a complete answer after the start of the last fault"));
    }
    SUBCASE("RecordedHistory reports the violations that the script recorded")
    {
        sample.extra = R"({"type":"violation","what":"i3 ended with 1 after SIGTERM"})";
        CHECK(isReported(sample, "i3 ended with 1"));
    }
}

}
