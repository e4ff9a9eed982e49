#pragma once

#include "base/leg.h"
#include "load/caller_connection.h"

#include <cstdint>
#include <fstream>
#include <string>

namespace lycheefield {

/// One call as seen by its caller.
struct ObservedCall {
    Endpoint target;
    RequestKind kind = RequestKind::Search;
    std::string key; ///< Idempotency key of an order.
    std::string body;
    TimePoint sent;
    TimePoint deadline;
    TimePoint answered = never;
    CallerConnection::Answer answer;
};

/// Writes each call with its whole answer as one line of JSON, so that a checker can verify the answers of all
/// callers afterwards. Times are microseconds of the machine's monotonic clock.
class CallHistory {
public:
    /// With an empty path nothing is written.
    explicit CallHistory(const std::string& path);

    void add(const ObservedCall&);
    /// Closes the file. Returns false when the file could not be written. Precondition: called once, at the end.
    bool close();

private:
    std::string m_path;
    std::ofstream m_out;
};

}
