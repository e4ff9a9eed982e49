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
/// A lower priority gets one turn in every fairnessInterval, so that it never starves. Not
/// thread safe.
class LegQueue {
public:
    static constexpr std::uint32_t fairnessInterval = 8;

    void push(RelayLeg);
    /// The leg to run next; empty when none waits.
    std::optional<RelayLeg> pop();
    /// Removes and returns the leg of that key.
    std::optional<RelayLeg> remove(const LegKey&);
    /// Removes and returns every leg whose deadline is at or before the time.
    std::vector<RelayLeg> removeDue(TimePoint);
    std::vector<RelayLeg> removeEntry(const InstanceName&);
    std::vector<RelayLeg> removeAll();
    /// The leg that would run last: the one to give way when the queue is full. Null when empty.
    const RelayLeg* last() const;

    /// Legs that would run before one of this priority and deadline.
    std::size_t countAhead(Priority, TimePoint deadline) const;
    std::size_t size() const { return m_size; }
    bool isEmpty() const { return m_size == 0; }
    /// `never` when nothing waits.
    TimePoint nextDeadline() const;

private:
    static constexpr std::size_t priorityCount = 3;
    using Line = std::multimap<TimePoint, RelayLeg>;

    static std::size_t indexOf(Priority priority) { return static_cast<std::size_t>(priority); }
    RelayLeg take(Line&, Line::iterator);
    Line* nextLine();

    std::array<Line, priorityCount> m_lines;
    std::size_t m_size = 0;
    std::uint32_t m_turnsAboveWaiting = 0; ///< Legs run in a row while one of a lower priority waited.
};

}
