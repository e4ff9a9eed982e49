#pragma once

#include "base/ids.h"

#include <cstdint>
#include <vector>

namespace lycheefield {

/// Members whose changed state is still to be gossiped, each with the number of times that its digest
/// was sent. The digests sent least often go first and are dropped at the transmit limit. Not thread safe.
class GossipQueue {
public:
    /// Enqueues a member whose state changed, or resets its transmissions to 0 when it is queued already.
    void add(const InstanceName&);
    /// Returns at most `limit` names, counts one transmission for each, and drops those that have
    /// reached `transmitLimit` transmissions.
    std::vector<InstanceName> take(std::size_t limit, std::uint32_t transmitLimit);
    std::size_t size() const { return m_pending.size(); }

private:
    struct PendingDigest {
        InstanceName name;
        std::uint32_t transmissions = 0;
    };

    std::vector<PendingDigest> m_pending;
};

}
