#pragma once

#include "base/ids.h"

namespace lycheefield {

/// What the crash table must know about servers. Answers follow the tables of the moment.
class ServerDirectory {
public:
    virtual ~ServerDirectory() = default;
    /// True while the catalog names the server.
    virtual bool exists(const ServerName&) const = 0;
    /// True when this engine owns the server.
    virtual bool owns(const ServerName&) const = 0;
};

}
