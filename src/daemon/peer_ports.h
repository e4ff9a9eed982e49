#pragma once

#include "base/ids.h"
#include "base/leg.h"
#include "dispatch/relay_action.h"

namespace lycheefield {

/// Interface through which the entry sends legs to the relay of this process or of another instance. Thread safe.
class RelayPort {
public:
    virtual ~RelayPort() = default;
    virtual void sendWork(const InstanceName& relay, WorkOrder) = 0;
    virtual void sendCancel(const InstanceName& relay, const LegKey&) = 0;
};

/// Interface through which the relay returns results and announces servers and crashes. Thread safe.
class EntryPort {
public:
    virtual ~EntryPort() = default;
    virtual void returnResult(const InstanceName& entry, LegResult) = 0;
    virtual void announceServer(const ServerState&) = 0;
    virtual void announceCrash(const AnnounceCrash&) = 0;
};

}
