#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "membership/view.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace lycheefield {

/// Tells which of the listed instances are presumed gone, so that no duty is given to them.
///
/// The objects that a process finds in the store when it starts may be left from instances that have ended. Such an instance is unverified until
/// its object is refreshed or a message comes from it. The ones with the most processor are asked for a sign of life at once, and all
/// others as soon as one of those stays silent. One that stays silent is presumed gone until it shows life; that proves nothing: it may run and be out of reach.
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
    /// Takes the instances that are to be asked for a sign of life now.
    std::vector<InstanceName> takeDue(TimePoint);
    /// When onTimer() or takeDue() has something to do, or earlier.
    TimePoint nextWake() const;
    const std::set<InstanceName>& gone() const { return m_gone; }

    /// An instance that has been asked is presumed gone when it has been silent for so long.
    static constexpr Duration answerTime = std::chrono::milliseconds(1500);
    static constexpr std::size_t askedFirst = 16;

private:
    struct Unverified {
        TimePoint askedAt = never; ///< For the first time.
        TimePoint nextAskAt = never;
    };

    /// Lets all unverified instances be asked, few at a time.
    void askAll(TimePoint);

    InstanceName m_self;
    std::map<InstanceName, Unverified> m_unverified;
    std::set<InstanceName> m_heard;
    std::set<InstanceName> m_gone;
    bool m_hasBegun = false;
    bool m_asksAll = false;
};

}
