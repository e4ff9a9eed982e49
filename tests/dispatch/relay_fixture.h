#pragma once

#include "dispatch/relay_engine.h"

#include <memory>
#include <string>
#include <vector>

namespace lycheefield {

/// Returns the outcome as text, which doctest can print.
inline std::string outcomeOf(const ReturnResult& it)
{
    return std::string(toString(it.result.outcome));
}

/// One engine with its tables and all the actions that the engine requested.
class RelayFixture {
public:
    static constexpr std::uint32_t slots = 2;
    static constexpr std::uint32_t connectionCap = 25;

    explicit RelayFixture(const RelaySettings& = {});

    RelayEngine& engine() { return *m_engine; }
    TimePoint now() const { return m_now; }
    RelayActions& actions() { return m_actions; }
    void advance(Duration duration) { m_now += duration; }
    /// Advances the time and runs the engine's timers that fall due meanwhile.
    void run(Duration);

    /// Adds a server of one shard to the tables; publish() hands them to the engine.
    void addServer(const std::string& name, std::uint32_t shard = 0, bool leaving = false);
    /// Gives the engine tables of these instances. With isDirect, "self" owns every server; under direct
    /// routing every instance does.
    void publish(const std::vector<std::string>& instances = { "self", "other" }, bool isDirect = false);

    WorkOrder order(std::uint64_t request, const std::string& server, Priority = Priority::Desk, Duration budget = 1s) const;
    void send(const WorkOrder& order) { m_engine->onWork(order, m_now, m_actions); }
    /// Reports every requested connection as open.
    void connectAll();
    /// Reports the server's response to the leg.
    void respond(const SendLeg&, LegOutcome = LegOutcome::Ok, bool draining = false);
    /// Reports that the connection of the leg broke.
    void dropConnection(const SendLeg&, bool bytesWritten = true);

    /// Takes the actions of one type out of the list.
    template <typename Action>
    std::vector<Action> take()
    {
        std::vector<Action> taken;
        RelayActions rest;
        for (auto& it : m_actions) {
            if (const auto* action = std::get_if<Action>(&it))
                taken.push_back(*action);
            else
                rest.push_back(std::move(it));
        }
        m_actions = std::move(rest);
        return taken;
    }

private:
    std::unique_ptr<RelayEngine> m_engine;
    std::vector<Server> m_servers;
    std::uint32_t m_shards = 0;
    RelayActions m_actions;
    TimePoint m_now { Duration(1) };
};

}
