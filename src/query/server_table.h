#pragma once

#include "query/server_record.h"

#include <memory>
#include <unordered_map>

namespace lycheefield {

/// The records of all servers that were reported to this entry or that it sent legs to. Not thread safe.
class ServerTable {
public:
    /// Returns the record of the server, created if missing. The reference is valid as long as the table.
    ServerRecord& recordOf(const ServerName&);
    /// Returns the record of the server, or null if there is none.
    const ServerRecord* find(const ServerName&) const;
    /// Records the state of a server that a relay reported.
    void recordState(const ServerState&, TimePoint);

private:
    std::unordered_map<ServerName, std::unique_ptr<ServerRecord>> m_records;
};

}
