#pragma once

#include "query/query_engine.h"

#include <memory>
#include <string>
#include <vector>

namespace lycheefield {

/// One engine over a small fleet: every shard has two replicas, "sNa" in zone a owned by relay
/// "ra" and "sNb" in zone b owned by relay "rb". Time moves only by calls.
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
    /// Answers a leg as a good server would.
    void answer(const SendWork&, const LegOrder&);
    void end(const SendWork&, const LegOrder&, LegOutcome);
    void send(const LegResult&);
    LegResult resultOf(const SendWork&, const LegOrder&, LegOutcome) const;
    /// The leg dies with its server.
    void crash(const SendWork&, const LegOrder&);
    void setVersions(const std::vector<IndexVersion>&);
    /// Answers every leg sent and not yet answered.
    void answerAll();
    /// Moves the time on, running timers when they are due.
    void advance(Duration);

    /// What the engine has done since the last take; each is removed by taking it.
    std::vector<SendWork> takeWork();
    std::vector<SendCancel> takeCancels();
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
