#pragma once

#include "daemon/shared_tables.h"
#include "platform/http_instance_list.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <memory>

namespace lycheefield {

/// Reports this instance to the platform and takes the view of the others from its list. Thread safe.
class InstancesRole : public std::enable_shared_from_this<InstancesRole> {
public:
    /// Precondition: the publisher outlives the role.
    InstancesRole(const boost::asio::any_io_executor&, std::shared_ptr<HttpInstanceList>, TablePublisher&, Instance self, Duration period);

    void start();
    void stop();
    /// Tells the platform and the own view that this instance leaves.
    void beginLeaving();
    /// True once a list was read that holds this instance.
    bool isListed() const { return m_isListed.load(); }

private:
    void poll();
    void onList(const std::vector<Instance>&);
    void again();

    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<HttpInstanceList> m_list;
    TablePublisher& m_publisher;
    Instance m_self;
    Duration m_period;
    std::atomic<bool> m_isListed { false };
    bool m_isReported = false;
    bool m_isStopped = false;
};

}
