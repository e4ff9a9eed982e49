#pragma once

#include "base/ids.h"
#include "base/leg.h"
#include "dispatch/relay_action.h"

namespace lycheefield {

/// Where the entry sends legs: to the relay in this process or to another instance. Thread safe.
class RelayPort {
public:
    virtual ~RelayPort() = default;
    virtual void sendWork(const InstanceName& relay, WorkOrder) = 0;
    virtual void sendCancel(const InstanceName& relay, const LegKey&) = 0;
};

/// Where the relay sends what it found out. Thread safe.
class EntryPort {
public:
    virtual ~EntryPort() = default;
    virtual void returnResult(const InstanceName& entry, LegResult) = 0;
    virtual void announceServer(const ServerState&) = 0;
    virtual void announceCrash(const AnnounceCrash&) = 0;
};

}
