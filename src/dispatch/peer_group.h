#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

#include <cstddef>
#include <map>

namespace lycheefield {

/// The servers of one service that one engine holds: what each is compared with, and whom the floor
/// of ejection protects. Not thread safe.
class PeerGroup {
public:
    void join(const ServerName& name) { m_members.try_emplace(name); }
    void leave(const ServerName& name) { m_members.erase(name); }
    bool isEmpty() const { return m_members.empty(); }

    void setLatency(const ServerName& name, Duration latency) { m_members[name].latency = latency; }
    void setOut(const ServerName& name, bool isOut) { m_members[name].isOut = isOut; }
    /// True when one more member may be taken out of use without passing the floor.
    bool mayTakeOut(const ServerName&, Share floor) const;
    /// Median latency of the other members that are in use; zero when fewer than two have one.
    Duration medianOfOthers(const ServerName&) const;

private:
    struct Member {
        Duration latency {};
        bool isOut = false;
    };

    std::map<ServerName, Member> m_members;
};

}
