#include "forward_test_bed.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace lycheefield {

namespace {

/// Callers of several teams that share one server, which runs one request at a time.
class SharedServer {
public:
    SharedServer()
        : m_testBed(settingsInZoneA())
        , m_table(std::make_shared<RouteTable>())
    {
        ServerModel model;
        model.slots = 1;
        m_testBed.addServer("ledger", "s1", "a", model);
        m_table->version = 1;
        for (const std::uint32_t rank : { 0, 1 }) {
            auto route = m_testBed.singleRoute("ledger", true);
            route.name = "rank" + std::to_string(rank);
            route.rank = rank;
            m_table->routes.push_back(route);
        }
        m_table->services[ServiceName("ledger")] = { 1 };
    }

    void start(const std::string& team, std::size_t route = 0, std::uint32_t teamRank = 0)
    {
        const RequestNumber number { ++m_last };
        ForwardRequest request;
        request.number = number;
        request.table = m_table;
        request.route = &m_table->routes[route];
        request.message = std::make_shared<const HttpRequest>();
        request.deadline = m_testBed.now() + 1500ms;
        request.readAt = m_testBed.now();
        request.team = TeamName(team);
        request.teamRank = teamRank;
        request.content = Fingerprint(m_last);
        m_testBed.startRequest(request);
        m_kinds.emplace(number, team + "/" + std::to_string(route));
    }
    /// Returns the number of requests that were served, by team and route.
    std::map<std::string, int> served() const
    {
        std::map<std::string, int> served;
        for (const auto& [number, outcome] : m_testBed.outcomes())
            served[m_kinds.at(number)] += outcome.answer.kind == ForwardAnswerKind::PassThrough ? 1 : 0;
        return served;
    }
    void run(Duration time) { m_testBed.run(time); }

private:
    ForwardTestBed m_testBed;
    std::shared_ptr<RouteTable> m_table;
    std::map<RequestNumber, std::string> m_kinds;
    std::uint64_t m_last = 0;
};

}

// The server runs 50 requests a second.
TEST_CASE("Teams share a server that is too small for all of them" * doctest::test_suite("forward"))
{
    SharedServer shared;
    SUBCASE("A team that sends ten times as much takes no part of the other's")
    {
        for (int i = 0; i < 100; ++i) {
            for (int k = 0; k < 4; ++k)
                shared.start("many");
            if (i % 2 == 0)
                shared.start("few");
            shared.run(20ms);
        }
        CHECK(shared.served().at("few/0") >= 45);
        CHECK(shared.served().at("many/0") >= 40);
    }
    SUBCASE("The more urgent team is served whole before the others")
    {
        for (int i = 0; i < 100; ++i) {
            shared.start("usual", 0, 1);
            shared.start("usual", 0, 1);
            if (i % 2 == 0)
                shared.start("urgent", 1, 0);
            shared.run(20ms);
        }
        CHECK(shared.served().at("urgent/1") >= 49);
        CHECK(shared.served().at("usual/0") >= 45);
    }
    SUBCASE("No kind of request is served less than a less urgent one, whichever team sends it")
    {
        for (int i = 0; i < 100; ++i) {
            shared.start("one", 0);
            shared.start("one", 1);
            shared.start("two", 1);
            shared.start("two", 1);
            shared.run(20ms);
        }
        CHECK(shared.served().at("one/0") >= 95);
        CHECK(shared.served().at("one/1") + shared.served().at("two/1") <= 5);
    }
}

}
