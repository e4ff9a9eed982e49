#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <map>

namespace lycheefield {

/// The servers of one service that one engine holds. A floor keeps a share of them in use. Not thread
/// safe.
class ServerGroup {
public:
    void join(const ServerName& name) { m_members.try_emplace(name); }
    void leave(const ServerName& name) { m_members.erase(name); }
    bool isEmpty() const { return m_members.empty(); }

    void setOutOfUse(const ServerName& name, bool isOut) { m_members[name] = isOut; }
    /// True when this server may be taken out of use with the floor still met.
    bool mayTakeOutOfUse(const ServerName&, Share floor) const;

private:
    std::map<ServerName, bool> m_members; ///< True for a server that is out of use.
};

}
