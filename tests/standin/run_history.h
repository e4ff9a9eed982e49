#pragma once

#include "standin/backend_server.h"

#include <fstream>
#include <string>

namespace lycheefield::standin {

/// Writes the requests and results of the servers of a fleet to a file, one JSON object per line, for the
/// history checker. Times are microseconds of the monotonic clock. Must outlive the servers that it follows.
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
