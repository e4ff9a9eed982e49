#include "daemon/instances_role.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace lycheefield {

namespace {

constexpr Duration retryPeriod = std::chrono::milliseconds(200);

}

InstancesRole::InstancesRole(
    const boost::asio::any_io_executor& executor, std::shared_ptr<HttpInstanceList> list, TablePublisher& publisher, Instance self, Duration period)
    : m_strand(executor)
    , m_timer(m_strand)
    , m_list(std::move(list))
    , m_publisher(publisher)
    , m_self(std::move(self))
    , m_period(period)
{
}

void InstancesRole::start()
{
    m_publisher.publishView(MembershipView({ m_self }));
    boost::asio::post(m_strand, [self = shared_from_this()] { self->poll(); });
}

void InstancesRole::stop()
{
    boost::asio::post(m_strand, [self = shared_from_this()] {
        self->m_isStopped = true;
        self->m_timer.cancel();
    });
}

void InstancesRole::beginLeaving()
{
    boost::asio::post(m_strand, [self = shared_from_this()] {
        self->m_self.health = InstanceHealth::Leaving;
        self->m_isReported = false;
        self->poll();
    });
}

void InstancesRole::poll()
{
    if (m_isStopped)
        return;
    if (!m_isReported) {
        m_list->report(m_self, [self = shared_from_this(), health = m_self.health](bool done) {
            boost::asio::post(self->m_strand, [self, done, health] { self->m_isReported = self->m_isReported || (done && health == self->m_self.health); });
        });
    }
    m_list->fetch([self = shared_from_this()](std::optional<std::vector<Instance>> list) {
        boost::asio::post(self->m_strand, [self, list = std::move(list)] {
            if (list)
                self->onList(*list);
            self->again();
        });
    });
}

void InstancesRole::onList(const std::vector<Instance>& list)
{
    std::vector<Instance> instances;
    std::copy_if(list.begin(), list.end(), std::back_inserter(instances), [this](const Instance& it) { return it.name != m_self.name; });
    if (instances.size() != list.size())
        m_isListed = true;
    instances.push_back(m_self);
    m_publisher.publishView(MembershipView(instances));
}

void InstancesRole::again()
{
    m_timer.expires_after(m_isReported && m_isListed ? m_period : std::min(m_period, retryPeriod));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec)
            self->poll();
    });
}

}
