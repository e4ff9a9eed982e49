#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <set>
#include <unordered_map>

namespace lycheefield {

/// Contents of requests that ended their server's process wherever they ran, so that they run no more.
///
/// A content is refused once it was running at the end of three servers and was not served since the
/// first of them. Instances tell each other of each end, as its next attempt comes to any of them. It
/// does no I/O. Not thread safe.
class CrashQuarantine {
public:
    /// The server ended the connection while it ran the content. True when that was not known.
    bool recordCrash(Fingerprint, const ServerName&, TimePoint);
    /// A server answered it: nothing is held against it any more.
    void noteServed(Fingerprint);
    /// How long it is still refused; zero when it may run.
    Duration left(Fingerprint, TimePoint) const;
    bool isEmpty() const { return m_records.empty(); }

private:
    struct Record {
        std::set<ServerName> crashedServers;
        TimePoint lastAt {};
    };
    void makeRoom(TimePoint);

    std::unordered_map<Fingerprint, Record> m_records;
};

}
