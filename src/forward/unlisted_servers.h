#pragma once

#include "base/ids.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>

namespace lycheefield {

struct ServerEntry;
struct TrackedServer;

/// Keeps what is known of servers whose entries have been removed, as a late write may put the entry of the same process back.
///
/// Holds the latest maxServers of them. Performs no I/O. Not thread safe.
class UnlistedServers {
public:
    void add(std::shared_ptr<TrackedServer>);
    /// Takes out the state of the process that wrote the entry; null when it isn't known. The state of an earlier process is dropped.
    std::shared_ptr<TrackedServer> take(const ServerEntry&);

    /// More than leave within a minute, for which a server may go on after its removal.
    static constexpr std::size_t maxServers = 1024;

private:
    std::map<ServerName, std::shared_ptr<TrackedServer>> m_servers;
    std::deque<ServerName> m_order; ///< The oldest first; also names that were taken out.
};

}
