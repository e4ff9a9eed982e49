#pragma once

#include "standin/backend_server.h"

#include <fstream>
#include <string>

namespace lycheefield::standin {

/// Writes what the servers of a fleet ran and gave as one line of JSON each, for the checker of histories.
/// Times are microseconds of the machine's monotonic clock. It outlives the servers that it follows.
class RunHistory {
public:
    /// Throws std::runtime_error when the file can't be written.
    explicit RunHistory(const std::string& path);

    void follow(BackendServer&);
    void addDrain(const ServerName&, TimePoint);

private:
    void addRun(const ServerName&, const BackendRequest&, TimePoint);
    void addOutput(const BackendResponse&, ShardNumber);

    std::ofstream m_out;
};

}
