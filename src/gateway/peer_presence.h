#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "membership/view.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace lycheefield {

/// Tells which of the listed instances are presumed gone, so that no work is assigned to them.
///
/// The objects that a process finds in the store when it starts may be left from instances that have ended. Such an instance is unverified until
/// its object is refreshed or a message comes from it. The ones with the most processor are probed at once, and all others as soon as one of those
/// doesn't answer. One that doesn't answer is presumed gone until a refresh or a message comes. It may run and be out of reach, so the presumption is no reason to grant what it may grant.
/// Performs no I/O. Not thread safe.
class PeerPresence {
public:
    explicit PeerPresence(InstanceName self)
        : m_self(std::move(self))
    {
    }

    /// Replaces the listed instances. unverified: those of which no refresh has been seen. Returns whether gone() has changed.
    bool setInstances(const std::vector<Instance>&, const std::set<InstanceName>& unverified, TimePoint);
    /// A message came from the instance. Returns whether gone() has changed.
    bool onMessage(const InstanceName& from);
    /// Returns whether gone() has changed.
    bool onTimer(TimePoint);
    /// Takes the instances that are to be probed now.
    std::vector<InstanceName> takeProbes(TimePoint);
    /// When onTimer() or takeProbes() has something to do, or earlier.
    TimePoint nextWake() const;
    const std::set<InstanceName>& gone() const { return m_gone; }

    /// An instance is presumed gone when it hasn't answered for so long.
    static constexpr Duration answerTime = std::chrono::milliseconds(1500);
    static constexpr std::size_t probedFirst = 16;

private:
    struct Unverified {
        TimePoint probedAt = never; ///< For the first time.
        TimePoint nextProbeAt = never;
    };

    /// Lets all unverified instances be probed, few at a time.
    void probeAll(TimePoint);

    InstanceName m_self;
    std::map<InstanceName, Unverified> m_unverified;
    std::set<InstanceName> m_heard;
    std::set<InstanceName> m_gone;
    bool m_hasBegun = false;
    bool m_probesAll = false;
};

}
