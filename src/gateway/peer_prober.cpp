#include "gateway/peer_prober.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lycheefield {

PeerProber::PeerProber(const boost::asio::any_io_executor& executor, const Clock& clock, SearchDelegation& delegation, DecisionLog& log, const InstanceName& self, std::function<void()> onChange)
    : m_clock(clock)
    , m_delegation(delegation)
    , m_log(log)
    , m_presence(self)
    , m_onChange(std::move(onChange))
    , m_timer(executor)
{
    m_delegation.setPeerHeardHandler([this](const InstanceName& from) {
        if (m_presence.onMessage(from))
            m_onChange();
    });
}

void PeerProber::setInstances(const InstanceListing& listing)
{
    m_presence.setInstances(listing.instances, listing.unverified, m_clock.now());
}

void PeerProber::probe()
{
    const auto now = m_clock.now();
    if (m_presence.onTimer(now)) {
        m_log.write(LineImportance::State, now, "instances presumed gone; they are assigned no work until a message or a refresh comes", { { "instances", std::to_string(gone().size()) } });
        m_onChange();
    }
    for (const auto& it : m_presence.takeProbes(now))
        m_delegation.sendOnAnyConnection(it, QuotaCall {});
    if (m_presence.nextWake() == never)
        return;
    m_timer.expires_after(std::max(Duration {}, m_presence.nextWake() - now));
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            probe();
    });
}

}
