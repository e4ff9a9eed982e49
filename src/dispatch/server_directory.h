#pragma once

#include "base/ids.h"

namespace lycheefield {

/// What the crash table must know about servers. Answers follow the tables of the moment.
class ServerDirectory {
public:
    virtual ~ServerDirectory() = default;
    virtual bool exists(const ServerName&) const = 0;
    /// True when this instance owns the server.
    virtual bool owns(const ServerName&) const = 0;
    /// True when both are replicas of one shard.
    virtual bool shareShard(const ServerName&, const ServerName&) const = 0;
};

}
