#pragma once

#include "dispatch/relay_leg.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace lycheefield {

/// The legs that wait at one server, ordered by priority, then deadline, then arrival.
///
/// A priority that has had legs waiting and no turn for longestStarvation gets the next one, so that
/// none starves for ever. Not thread safe.
class LegQueue {
public:
    static constexpr Duration longestStarvation { 1'000'000 };

    void push(RelayLeg, TimePoint);
    /// The leg to run next; empty when none waits.
    std::optional<RelayLeg> pop(TimePoint);
    /// True when a leg of this priority would run next because the priority was starved.
    bool isTurnDue(Priority, TimePoint) const;
    /// Removes and returns the leg of that key.
    std::optional<RelayLeg> remove(const LegKey&);
    /// Removes and returns every leg whose deadline is at or before the time.
    std::vector<RelayLeg> removeDue(TimePoint);
    std::vector<RelayLeg> removeEntry(const InstanceName&);
    std::vector<RelayLeg> removeAll();
    /// The leg that would run last: the one to give way when the queue is full. Null when empty.
    const RelayLeg* last() const;

    /// Legs that would run before one of this priority and deadline, if no others came.
    std::size_t countAhead(Priority, TimePoint deadline) const;
    /// How long one of this priority and deadline waits if its own priority gets turns as it did
    /// lately. It counts what comes later and goes first; zero when nothing has waited yet.
    Duration waitForTurn(Priority, TimePoint deadline) const;
    /// Legs waiting at each priority.
    PriorityCounts counts() const;
    std::size_t size() const { return m_size; }
    bool isEmpty() const { return m_size == 0; }
    /// `never` when nothing waits.
    TimePoint nextDeadline() const;

private:
    static constexpr std::size_t priorityCount = 3;
    using Legs = std::multimap<TimePoint, RelayLeg>;

    /// The legs of one priority by deadline.
    struct Line {
        Legs legs;
        TimePoint starvingSince = never; ///< The last turn, or the first push since.
        TimePoint waitingSince {}; ///< The last turn, or when the first of those waiting came.
        bool hadTurn = false; ///< Legs have waited ever since the last turn.
        Duration firstWait {}; ///< Moving average of the wait of a leg that found none of its priority.
        Duration turnGap {}; ///< Moving average of the time between turns while others wait.

        bool isStarved(TimePoint now) const { return starvingSince != never && now - starvingSince >= longestStarvation; }
    };

    static std::size_t indexOf(Priority priority) { return static_cast<std::size_t>(priority); }
    RelayLeg take(Line&, Legs::iterator);
    Line* nextLine(TimePoint);

    std::array<Line, priorityCount> m_lines;
    std::size_t m_size = 0;
};

}
