#include "rules/rule_replicator.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace lycheefield {

namespace {

const TimePoint now(Duration(1000));
const InstanceName peer("i1");
const InstanceName other("i2");

StoredRules stored(std::uint64_t revision)
{
    StoredRules rules;
    rules.revision = RuleRevision(revision);
    rules.text = "match /a service s deadline " + std::to_string(revision) + "ms # Ngozi: revision\nmatch /b service s deadline 1s # x\n";
    return rules;
}

template <typename T>
std::vector<T> allOf(const RuleActions& actions)
{
    std::vector<T> found;
    for (const auto& it : actions) {
        if (const auto* action = std::get_if<T>(&it))
            found.push_back(*action);
    }
    return found;
}

}

TEST_CASE("The rule replicator never lowers the revision in force" * doctest::test_suite("rules"))
{
    RuleReplicator replicator;
    RuleActions actions;
    CHECK_FALSE(replicator.isReady());
    replicator.onStored(stored(5), actions);
    REQUIRE(allOf<PublishRules>(actions).size() == 1);
    CHECK(allOf<PublishRules>(actions).front().table.revision() == RuleRevision(5));
    CHECK(replicator.isReady());
    actions.clear();

    SUBCASE("A lower revision in the store changes nothing")
    {
        replicator.onStored(stored(4), actions);
        replicator.onStored(stored(5), actions);
        replicator.onStoreEmpty();
        CHECK(actions.empty());
        CHECK(replicator.revision() == RuleRevision(5));
        CHECK(replicator.counts().lowerRefused == 1);
    }
    SUBCASE("A lower revision from a peer changes nothing")
    {
        replicator.onPeerRevision(peer, RuleRevision(4), now, actions);
        replicator.onDelta(peer, makeRuleDelta(RuleRevision(), "", RuleRevision(4), stored(4).text), now, actions);
        CHECK(actions.empty());
        CHECK(replicator.revision() == RuleRevision(5));
    }
    SUBCASE("A malformed text is refused once, and the old rules stay in force")
    {
        auto bad = stored(6);
        bad.text = "nonsense";
        replicator.onStored(bad, actions);
        replicator.onStored(bad, actions);
        replicator.onPeerRevision(peer, RuleRevision(6), now, actions);
        CHECK(replicator.revision() == RuleRevision(5));
        CHECK(allOf<LogRuleChange>(actions).size() == 1);
        CHECK(actions.size() == 1);
        replicator.onStored(stored(7), actions);
        CHECK(replicator.revision() == RuleRevision(7));
    }
}

TEST_CASE("The rule replicator exchanges deltas with its peers" * doctest::test_suite("rules"))
{
    RuleReplicator sender;
    RuleReplicator receiver;
    RuleActions actions;
    sender.onStored(stored(5), actions);
    receiver.onStored(stored(5), actions);
    sender.onStored(stored(6), actions);
    actions.clear();
    receiver.onPeerRevision(peer, RuleRevision(6), now, actions);
    REQUIRE(allOf<RequestRules>(actions).size() == 1);
    CHECK(allOf<RequestRules>(actions).front().have == RuleRevision(5));

    SUBCASE("The delta holds only the changed line")
    {
        RuleActions responses;
        sender.onRequest(other, RuleRevision(5), responses);
        const auto delta = allOf<SendRules>(responses).at(0).delta;
        CHECK(delta.addedLines.size() == 1);
        actions.clear();
        receiver.onDelta(peer, delta, now, actions);
        CHECK(receiver.text() == sender.text());
        CHECK(receiver.revision() == RuleRevision(6));
        CHECK(receiver.nextTimer() == never);
    }
    SUBCASE("The replicator requests the whole text after a delta that does not apply, and nothing after a second one")
    {
        actions.clear();
        auto delta = makeRuleDelta(RuleRevision(5), "another text", RuleRevision(6), stored(6).text);
        receiver.onDelta(peer, delta, now, actions);
        REQUIRE(allOf<RequestRules>(actions).size() == 1);
        CHECK(allOf<RequestRules>(actions).front().have == RuleRevision());
        actions.clear();
        receiver.onDelta(peer, delta, now, actions);
        CHECK(actions.empty());
        CHECK(receiver.counts().malformed == 2);
        receiver.onPeerRevision(other, RuleRevision(6), now, actions);
        CHECK(allOf<RequestRules>(actions).size() == 1);
    }
    SUBCASE("The replicator asks the next peer when one does not respond in time")
    {
        receiver.onPeerRevision(other, RuleRevision(6), now, actions);
        CHECK(allOf<RequestRules>(actions).size() == 1);
        actions.clear();
        receiver.onTimer(receiver.nextTimer(), actions);
        REQUIRE(allOf<RequestRules>(actions).size() == 1);
        CHECK(allOf<RequestRules>(actions).front().peer == other);
        receiver.onPeerGone(peer);
        receiver.onPeerGone(other);
        actions.clear();
        receiver.onTimer(receiver.nextTimer(), actions);
        CHECK(actions.empty());
        CHECK(receiver.nextTimer() == never);
    }
    SUBCASE("A new instance receives the whole file")
    {
        RuleReplicator fresh;
        RuleActions responses;
        sender.onRequest(other, RuleRevision(), responses);
        fresh.onDelta(peer, allOf<SendRules>(responses).at(0).delta, now, actions);
        CHECK(fresh.text() == sender.text());
        CHECK(fresh.isReady());
        responses.clear();
        sender.onRequest(other, RuleRevision(6), responses);
        CHECK(responses.empty());
    }
}

}
