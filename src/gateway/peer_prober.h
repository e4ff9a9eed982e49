#pragma once

#include "admission/instance_listing.h"
#include "base/clock.h"
#include "gateway/peer_presence.h"
#include "gateway/search_delegation.h"
#include "observe/decision_log.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace lycheefield {

/// Probes the other instances as PeerPresence decides, and tells when those that are presumed gone have changed. Called on the delegation's strand.
class PeerProber {
public:
    /// onChange is not called from within setInstances(). Preconditions: the clock, the delegation and the log outlive the prober.
    PeerProber(const boost::asio::any_io_executor&, const Clock&, SearchDelegation&, DecisionLog&, const InstanceName& self, std::function<void()> onChange);

    /// Replaces the listed instances.
    void setInstances(const InstanceListing&);
    /// Sends the probes that are due. Call after setInstances(), once the delegation has the instances.
    void probe();
    const std::set<InstanceName>& gone() const { return m_presence.gone(); }

private:
    const Clock& m_clock;
    SearchDelegation& m_delegation;
    DecisionLog& m_log;
    PeerPresence m_presence;
    std::function<void()> m_onChange;
    boost::asio::steady_timer m_timer;
};

}
