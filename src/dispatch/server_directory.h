#pragma once

#include "base/ids.h"

namespace lycheefield {

/// The facts about servers that the crash table needs, as of the tables in force.
class ServerDirectory {
public:
    virtual ~ServerDirectory() = default;
    /// True while the catalog lists the server.
    virtual bool exists(const ServerName&) const = 0;
    /// True when this engine owns the server.
    virtual bool owns(const ServerName&) const = 0;
};

}
