#pragma once

#include "query/query_engine.h"

#include <memory>
#include <string>
#include <vector>

namespace lycheefield {

/// One engine and a small virtual system: each shard has two replicas, "sNa" owned by a relay of
/// zone a and "sNb" owned by a relay of zone b. The clock is virtual and advances only by calls.
class QueryFixture : public TableSource {
public:
    explicit QueryFixture(std::uint32_t shards, const QuerySettings& = {}, std::uint64_t seed = 7, std::shared_ptr<RuleBudgets> = nullptr);

    /// Rules of the fixture: /search, /tail, /record and /order.
    std::vector<Rule> rules;
    std::vector<Service> services;
    std::vector<Server> servers;
    std::vector<Instance> instances;
    QueryTables tables() const;
    QueryTables newest() const override { return tables(); }

    /// Starts a request and returns its id.
    RequestId start(const std::string& path, const std::string& record = "key", const std::string& body = "body");
    /// Ends the attempt with a valid result.
    void answer(const SendWork&, const LegOrder&);
    void end(const SendWork&, const LegOrder&, LegOutcome);
    void send(const LegResult&);
    LegResult resultOf(const SendWork&, const LegOrder&, LegOutcome) const;
    /// Ends the attempt as lost because its server crashed.
    void crash(const SendWork&, const LegOrder&);
    void setVersions(const std::vector<IndexVersion>&);
    /// Answers all legs sent and not yet taken, and those that the engine then sends.
    void answerAll();
    /// Advances the virtual clock and runs the engine's timer when due.
    void advance(Duration);

    /// Returns and removes the engine's actions of that kind since the last call.
    std::vector<SendWork> takeWork();
    std::vector<CancelAttempt> takeCancels();
    std::vector<Answer> takeAnswers();
    std::size_t legCount(const std::vector<SendWork>&) const;

    TimePoint now { Duration(1000000) };
    std::unique_ptr<QueryEngine> engine;
    QueryActions actions;

private:
    template <typename Action>
    std::vector<Action> take();

    std::uint64_t m_next = 0;
};

}
