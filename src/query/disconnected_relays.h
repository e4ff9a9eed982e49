#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <unordered_map>

namespace lycheefield {

/// Relays whose connection broke recently. Until membership moves their blocks, legs go through the
/// standby. Not thread safe.
class DisconnectedRelays {
public:
    /// Within this time the membership view either moves the blocks or lists the relay as alive again.
    static constexpr Duration retention = std::chrono::seconds(3);

    void markLost(const InstanceName& relay, TimePoint now) { m_lostAt[relay] = now; }
    void markReachable(const InstanceName& relay)
    {
        if (!m_lostAt.empty())
            m_lostAt.erase(relay);
    }
    bool isLost(const InstanceName& relay, TimePoint now) const
    {
        if (m_lostAt.empty())
            return false;
        const auto it = m_lostAt.find(relay);
        return it != m_lostAt.end() && now - it->second < retention;
    }

private:
    std::unordered_map<InstanceName, TimePoint> m_lostAt;
};

}
