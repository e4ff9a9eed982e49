#pragma once

#include "dispatch/relay_leg.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace lycheefield {

/// The legs that wait for one server, ordered by priority, then deadline, then arrival.
///
/// A priority whose legs have waited for maxStarvation without a turn gets the next turn, so that no
/// priority starves. Not thread safe.
class LegQueue {
public:
    /// 1 s.
    static constexpr Duration maxStarvation { 1'000'000 };

    void push(RelayLeg, TimePoint);
    /// Removes and returns the leg to run next; empty when none waits.
    std::optional<RelayLeg> pop(TimePoint);
    /// True when a leg of this priority, if pushed now, would run next because its priority is starved.
    bool isTurnDue(Priority, TimePoint) const;
    /// Removes and returns the leg with this key.
    std::optional<RelayLeg> remove(const LegKey&);
    /// Removes and returns every leg whose deadline is at or before the time.
    std::vector<RelayLeg> removeExpired(TimePoint);
    /// Removes and returns every leg that the entry ordered.
    std::vector<RelayLeg> removeByEntry(const InstanceName&);
    std::vector<RelayLeg> removeAll();
    /// The leg that would run last, which a full queue displaces first. Null when the queue is empty.
    const RelayLeg* last() const;

    /// Number of legs that would run before a leg of this priority and deadline, if no others arrived.
    std::size_t countAhead(Priority, TimePoint deadline) const;
    /// Expected wait of a leg of this priority and deadline if its priority gets turns at the recent
    /// rate. The rate includes the effect of legs that arrive later and run first. Zero until a leg of
    /// this priority has waited.
    Duration waitForTurn(Priority, TimePoint deadline) const;
    /// Number of legs that wait at each priority.
    PriorityCounts counts() const;
    std::size_t size() const { return m_size; }
    bool isEmpty() const { return m_size == 0; }
    /// The earliest deadline of a waiting leg; `never` when none waits.
    TimePoint nextDeadline() const;

private:
    static constexpr std::size_t priorityCount = 3;
    using Legs = std::multimap<TimePoint, RelayLeg>;

    /// The legs of one priority, ordered by deadline.
    struct PriorityLevel {
        Legs legs;
        TimePoint starvingSince = never; ///< Last turn that left legs waiting, else the first push since; `never` when none.
        TimePoint waitingSince {}; ///< Last turn, or arrival of the leg that ended an empty queue, whichever is later.
        bool hadTurn = false; ///< Legs have been waiting without a break since the last turn.
        Duration firstWait {}; ///< Moving average of the wait of a leg that found no other of its priority.
        Duration turnInterval {}; ///< Moving average of the time between turns while others wait.

        bool isStarved(TimePoint now) const { return starvingSince != never && now - starvingSince >= maxStarvation; }
    };

    static std::size_t indexOf(Priority priority) { return static_cast<std::size_t>(priority); }
    RelayLeg take(PriorityLevel&, Legs::iterator);
    PriorityLevel* nextLevel(TimePoint);

    std::array<PriorityLevel, priorityCount> m_levels;
    std::size_t m_size = 0;
};

}
