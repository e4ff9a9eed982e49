#pragma once

#include "admission/instance_listing.h"
#include "base/store_revision.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace lycheefield {

/// The object that a node keeps about itself.
struct StoredNode {
    std::uint64_t life = 0; ///< Of the process that wrote it.
    std::uint64_t refreshes = 0;
    RoleDeclaration declared;
    std::uint64_t version = 0;

    friend bool operator==(const StoredNode&, const StoredNode&) = default;
};

/// The objects that nodes keep about themselves, and the revision at which they stood so.
struct StoredNodes {
    StoreRevision revision;
    std::map<std::size_t, StoredNode> objects; ///< By node.

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

    /// Writes if the object still has the expected version; 0: if there is none. Returns whether it did.
    bool write(std::size_t node, std::uint64_t expected, StoredNode, TimePoint);
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
