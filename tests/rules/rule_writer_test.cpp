#include "rules/rule_writer.h"

#include <doctest/doctest.h>

#include <map>

namespace lycheefield {

namespace {

/// An object store in memory with conditional writes.
class InMemoryStore {
public:
    StoredObject& object(const std::string& key)
    {
        auto& it = m_objects[key];
        it.key = key;
        return it;
    }
    StoreStatus read(const std::string& key, StoredObject& found)
    {
        found = object(key);
        return found.version.value ? StoreStatus::Ok : StoreStatus::NotFound;
    }
    StoreStatus write(const WriteRulesObject& request)
    {
        auto& it = object(request.key);
        if (it.version != request.expected)
            return StoreStatus::Conflict;
        ++it.version.value;
        it.value = request.value;
        return StoreStatus::Ok;
    }

private:
    std::map<std::string, StoredObject> m_objects;
};

RuleProposal proposal(std::uint64_t base, const std::string& id)
{
    return { RuleRevision(base), RuleRevision(), ApplyId(id), "ngozi", "2026-12-04T06:00:00Z", "# text of " + id };
}

/// Executes the actions of the writer up to its final action and returns the final action. Writes of rules/current go through `onWrite`.
template <typename OnWrite>
RuleWriterAction run(RuleWriter& writer, InMemoryStore& store, OnWrite onWrite)
{
    auto action = writer.start();
    for (;;) {
        if (const auto* it = std::get_if<ReadRulesObject>(&action)) {
            StoredObject found;
            const auto status = store.read(it->key, found);
            action = writer.onRead(status, found);
        } else if (const auto* it = std::get_if<WriteRulesObject>(&action)) {
            const auto request = *it;
            action = writer.onWritten(request.key == currentRulesKey ? onWrite(request) : store.write(request));
        } else if (std::holds_alternative<PauseBeforeRetry>(action)) {
            action = writer.onRetry();
        } else {
            return action;
        }
    }
}

RuleWriterAction run(RuleWriter& writer, InMemoryStore& store)
{
    return run(writer, store, [&](const auto& request) { return store.write(request); });
}

StoredRules rulesAt(InMemoryStore& store, const std::string& key)
{
    return parseStoredRules(store.object(key).value).value();
}

}

TEST_CASE("The rule writer replaces the revision that the operator started from" * doctest::test_suite("rules"))
{
    InMemoryStore store;
    RuleWriter first(proposal(0, "first"));
    CHECK(run(first, store) == RuleWriterAction(RulesAccepted { RuleRevision(1) }));

    SUBCASE("The writer copies the old revision to the history")
    {
        RuleWriter second(proposal(1, "second"));
        CHECK(run(second, store) == RuleWriterAction(RulesAccepted { RuleRevision(2) }));
        CHECK(rulesAt(store, currentRulesKey).text == "# text of second");
        CHECK(rulesAt(store, ruleHistoryKey(RuleRevision(1))).text == "# text of first");
    }
    SUBCASE("The later of two writers with the same base gets the rules of the first")
    {
        RuleWriter late(proposal(0, "late"));
        const auto end = run(late, store);
        REQUIRE(std::holds_alternative<RulesConflict>(end));
        CHECK(std::get<RulesConflict>(end).current.applyId == ApplyId("first"));
    }
    SUBCASE("The writer finds a conflict when another writer commits between its read and its write")
    {
        RuleWriter loser(proposal(1, "loser"));
        const auto end = run(loser, store, [&](const auto& request) {
            RuleWriter winner(proposal(1, "winner"));
            run(winner, store);
            return store.write(request);
        });
        REQUIRE(std::holds_alternative<RulesConflict>(end));
        CHECK(std::get<RulesConflict>(end).current.applyId == ApplyId("winner"));
    }
    SUBCASE("The new revision is higher than the highest one in force on an instance")
    {
        auto ahead = proposal(1, "ahead");
        ahead.highestInForce = RuleRevision(9);
        RuleWriter writer(ahead);
        CHECK(run(writer, store) == RuleWriterAction(RulesAccepted { RuleRevision(10) }));
    }
}

TEST_CASE("The rule writer reads the rules back after a lost response" * doctest::test_suite("rules"))
{
    InMemoryStore store;
    RuleWriter first(proposal(0, "first"));
    run(first, store);
    RuleWriter writer(proposal(1, "mine"), 3);
    int calls = 0;

    SUBCASE("The writer reports success when the write took effect")
    {
        const auto end = run(writer, store, [&](const auto& request) {
            ++calls;
            store.write(request);
            return StoreStatus::Lost;
        });
        CHECK(end == RuleWriterAction(RulesAccepted { RuleRevision(2) }));
        CHECK(calls == 1);
    }
    SUBCASE("The writer sends the write again with the same condition when the first one did not take effect")
    {
        const auto end = run(writer, store, [&](const auto& request) { return ++calls == 1 ? StoreStatus::Lost : store.write(request); });
        CHECK(end == RuleWriterAction(RulesAccepted { RuleRevision(2) }));
        CHECK(calls == 2);
        CHECK(rulesAt(store, currentRulesKey).revision == RuleRevision(2));
    }
    SUBCASE("The writer reports success when the first write takes effect late and the second one conflicts with it")
    {
        WriteRulesObject delayed;
        const auto end = run(writer, store, [&](const auto& request) {
            if (++calls == 1) {
                delayed = request;
                return StoreStatus::Lost;
            }
            store.write(delayed);
            return store.write(request);
        });
        CHECK(end == RuleWriterAction(RulesAccepted { RuleRevision(2) }));
    }
    SUBCASE("The writer reports success when the write took effect and was superseded before the read-back")
    {
        const auto end = run(writer, store, [&](const auto& request) {
            store.write(request);
            RuleWriter next(proposal(2, "next"));
            run(next, store);
            return StoreStatus::Lost;
        });
        CHECK(end == RuleWriterAction(RulesAccepted { RuleRevision(2) }));
    }
    SUBCASE("The writer reports a conflict when another operator's write came first")
    {
        const auto end = run(writer, store, [&](const auto&) {
            RuleWriter winner(proposal(1, "winner"));
            run(winner, store);
            RuleWriter next(proposal(2, "next"));
            run(next, store);
            return StoreStatus::Lost;
        });
        REQUIRE(std::holds_alternative<RulesConflict>(end));
        CHECK(std::get<RulesConflict>(end).current.applyId == ApplyId("next"));
    }
    SUBCASE("The writer reports an unknown outcome when the store never responds")
    {
        const auto end = run(writer, store, [&](const auto&) { return StoreStatus::Lost; });
        REQUIRE(std::holds_alternative<ApplyFailed>(end));
        CHECK((std::get<ApplyFailed>(end).error.kind == ErrorKind::UnknownOutcome));
    }
    SUBCASE("The writer reports that nothing was changed when the store is unavailable")
    {
        const auto end = run(writer, store, [&](const auto&) { return StoreStatus::Unavailable; });
        REQUIRE(std::holds_alternative<ApplyFailed>(end));
        CHECK((std::get<ApplyFailed>(end).error.kind == ErrorKind::Unavailable));
    }
    SUBCASE("The writer reports success when an outage of the store ends within the retries")
    {
        const auto end = run(writer, store, [&](const auto& request) { return ++calls == 1 ? StoreStatus::Unavailable : store.write(request); });
        CHECK(end == RuleWriterAction(RulesAccepted { RuleRevision(2) }));
    }
}

}
