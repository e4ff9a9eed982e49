#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <map>

namespace lycheefield {

/// The servers of one service that one engine holds, of which the floor of ejection keeps some in use. Not thread safe.
class PeerGroup {
public:
    void join(const ServerName& name) { m_members.try_emplace(name); }
    void leave(const ServerName& name) { m_members.erase(name); }
    bool isEmpty() const { return m_members.empty(); }

    void setOut(const ServerName& name, bool isOut) { m_members[name] = isOut; }
    /// True when one more member may be taken out of use without passing the floor.
    bool mayTakeOut(const ServerName&, Share floor) const;

private:
    std::map<ServerName, bool> m_members; ///< Whether each is out of use.
};

}
