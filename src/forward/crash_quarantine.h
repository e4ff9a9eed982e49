#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <set>
#include <unordered_map>

namespace lycheefield {

/// Quarantines request contents that repeatedly crash the servers that run them.
///
/// A content is refused once three servers crashed while running it and no server has served it since
/// the first crash. Instances announce each crash to one another, because the next attempt may reach
/// any of them. Performs no I/O. Not thread safe.
class CrashQuarantine {
public:
    /// Records that the server closed the connection while it ran the content. Returns true if the crash is new.
    bool recordCrash(Fingerprint, const ServerName&, TimePoint);
    /// Clears the crashes of a content that a server has served.
    void recordServed(Fingerprint);
    /// Returns the time until the content may run again; zero when it may run now.
    Duration remaining(Fingerprint, TimePoint) const;
    bool isEmpty() const { return m_records.empty(); }

private:
    struct Record {
        std::set<ServerName> crashedServers;
        TimePoint lastAt {};
    };
    void evict(TimePoint);

    std::unordered_map<Fingerprint, Record> m_records;
};

}
