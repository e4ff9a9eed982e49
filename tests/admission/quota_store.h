#pragma once

#include "base/store_revision.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace lycheefield {

/// The objects that nodes keep about themselves, and the revision at which they stood so.
struct StoredNodes {
    StoreRevision revision;
    std::map<std::size_t, std::uint64_t> lives; ///< Of the process that wrote the object, by node.

    friend bool operator==(const StoredNodes&, const StoredNodes&) = default;
};

/// The platform's store in a test: gives out copies from some seconds ago, and can come back from one.
class QuotaStore {
public:
    /// isQuiet: nobody else writes to it, so that its revision rises with the nodes' writes only.
    QuotaStore(TimePoint now, bool isQuiet)
        : m_isQuiet(isQuiet)
    {
        m_states.push_back({ now, { { 1, 1 }, {} } });
    }

    void write(std::size_t node, std::uint64_t life, TimePoint);
    void remove(std::size_t node, TimePoint);
    /// Comes back as of that time, in the next epoch.
    void restore(TimePoint copyOf, TimePoint);
    /// The state as of that time, which is at most historyTime ago.
    StoredNodes at(TimePoint) const;

    static constexpr Duration historyTime = std::chrono::seconds(30);

private:
    struct State {
        TimePoint since {};
        StoredNodes nodes;
    };

    void change(StoredNodes, TimePoint);

    bool m_isQuiet;
    std::deque<State> m_states;
};

}
