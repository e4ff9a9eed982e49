#pragma once

#include "forward/forward_request.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>

namespace lycheefield {

/// A leg that waits for a server with capacity, and what decides its place in the order.
struct WaitingLeg {
    std::uint32_t teamRank = 0; ///< The team's priority, 0 the most urgent.
    std::uint32_t routeRank = 0; ///< The route's priority, 0 the most urgent.
    TeamName team; ///< Empty when the request has no team.
    RequestNumber request;
    std::size_t leg = 0;

    friend bool operator==(const WaitingLeg&, const WaitingLeg&) = default;
};

/// The order of the legs that wait for one service: the team's priority, then the route's, then fair between teams, then
/// age.
///
/// Within one pair of priorities the teams take turns by start-time fair queueing: each team has a virtual start time,
/// which grows by one with each leg that is sent, and the team with the smallest goes next. A team that begins to wait starts
/// at the current virtual time, so it neither saves turns while it sends nothing nor pays for turns that nobody wanted. A
/// team's own legs go by age, so requests without a team go by age altogether. The state covers the teams that wait and those
/// that were sent ahead of their turn, and ends when no leg of the two priorities waits. Not thread safe.
class FairQueue {
public:
    /// Adds a leg; has no effect if it already waits.
    void insert(const WaitingLeg&);
    /// Removes a leg that is no longer wanted. Its team keeps its turn.
    void erase(const WaitingLeg&);
    /// Removes a leg that was sent, if it waits, and takes a turn of its team. Legs that never waited take a turn as well,
    /// so that a team gains nothing by many arrivals.
    void recordSent(const WaitingLeg&);
    /// Returns the leg that goes next. Precondition: not empty.
    const WaitingLeg& next() const;
    /// Returns whether no waiting leg goes before this one, which may wait or may be about to.
    bool goesFirst(const WaitingLeg&) const;
    /// Returns the number of waiting legs that go before this one, which may wait or may be about to.
    std::size_t countAhead(const WaitingLeg&) const;
    bool isEmpty() const { return m_classes.empty(); }
    std::size_t size() const { return m_size; }
    /// Returns the number of teams for which state is kept.
    std::size_t trackedTeams() const;

private:
    /// Virtual time: turns taken by each team that waited all along.
    using Turn = std::uint64_t;
    struct Age {
        RequestNumber request;
        std::size_t leg = 0;
        friend auto operator<=>(const Age&, const Age&) = default;
    };
    struct Flow {
        Turn start = 0;
        std::map<Age, WaitingLeg> legs; ///< Empty while the team only waits for the virtual time to reach its start.
    };
    /// The legs of one pair of priorities.
    struct Class {
        Turn now = 0;
        std::map<TeamName, Flow> flows;
        std::set<std::tuple<Turn, Age, TeamName>> order; ///< The flows that wait, by start and oldest leg.
        std::set<std::pair<Turn, TeamName>> ahead; ///< The flows without a waiting leg, by start.
    };
    using ClassKey = std::pair<std::uint32_t, std::uint32_t>;

    static ClassKey classOf(const WaitingLeg& leg) { return { leg.teamRank, leg.routeRank }; }
    static Age ageOf(const WaitingLeg& leg) { return { leg.request, leg.leg }; }
    /// Returns the turn at which the leg is sent.
    static Turn turnOf(const Class&, const WaitingLeg&);
    /// Takes the flow out of the indexes of its class; link() puts it back after a change.
    static void unlink(Class&, const TeamName&, const Flow&);
    static void link(Class&, const TeamName&, const Flow&);
    /// Discards the flows without waiting legs whose start the virtual time has reached.
    static void forgetIdle(Class&);
    void discardIfIdle(std::map<ClassKey, Class>::iterator);

    std::map<ClassKey, Class> m_classes;
    std::size_t m_size = 0;
};

}
