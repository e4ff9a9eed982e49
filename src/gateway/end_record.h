#pragma once

#include "gateway/quota_driver.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace lycheefield {

/// Writes into the store that this process ends, or tells the other instances when the store doesn't take it in time. Not thread safe: called on the executor.
class EndRecord {
public:
    /// Precondition: the quotas outlive the object.
    EndRecord(const boost::asio::any_io_executor&, QuotaDriver&);

    /// Precondition: the registry outlives the object.
    void setInstanceRegistry(InstanceRegistry& registry) { m_registry = &registry; }
    /// Gives up all roles and records the end. onDone runs once, within maxTime. Later calls do nothing. Precondition: QuotaDriver::resign() was called.
    void begin(std::function<void()> onDone);

    static constexpr Duration storeTimeout = std::chrono::milliseconds(400);
    static constexpr Duration announcementTime = std::chrono::milliseconds(50);
    static constexpr Duration maxTime = storeTimeout + announcementTime;

private:
    /// Tells the other instances, unless that has been done.
    void announce();
    void finish();

    QuotaDriver& m_quotas;
    InstanceRegistry* m_registry = nullptr;
    boost::asio::steady_timer m_timer;
    std::function<void()> m_onDone;
    bool m_isBegun = false;
    bool m_isAnnounced = false;
};

}
