#pragma once

#include "query/server_record.h"

#include <memory>
#include <unordered_map>

namespace lycheefield {

/// The records of all servers that this entry has heard of or sent to. Not thread safe.
class ServerTable {
public:
    /// The record of that server, made when there is none. It lives as long as the table.
    ServerRecord& recordOf(const ServerName&);
    /// Null when nothing is known of the server.
    const ServerRecord* find(const ServerName&) const;
    /// Takes what a relay says of a server.
    void recordState(const ServerState&, TimePoint);

private:
    std::unordered_map<ServerName, std::unique_ptr<ServerRecord>> m_records;
};

}
