#include "daemon/claim_driver.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace lycheefield {

namespace {

/// Minimum time between two copies of the counters for readers on other threads.
constexpr Duration countersPeriod = std::chrono::milliseconds(200);

}

ClaimDriver::ClaimDriver(boost::asio::io_context& io, std::shared_ptr<const Clock> clock, std::shared_ptr<ObjectStore> store, std::unique_ptr<ClaimEngine> engine)
    : m_strand(boost::asio::make_strand(io))
    , m_clock(std::move(clock))
    , m_store(std::move(store))
    , m_engine(std::move(engine))
    , m_timer(m_strand, m_clock)
{
}

void ClaimDriver::claim(const ClaimRequest& request, Handler handler)
{
    m_pending.fetch_add(1, std::memory_order_relaxed);
    boost::asio::post(m_strand, [self = shared_from_this(), request, handler = std::move(handler)]() mutable {
        self->m_handlers[request.request] = std::move(handler);
        ClaimActions actions;
        self->m_engine->claim(request, self->m_clock->now(), actions);
        self->execute(actions);
    });
}

void ClaimDriver::settle(const ClaimRequest& request, RunState state, std::string answer)
{
    m_pending.fetch_add(1, std::memory_order_relaxed);
    boost::asio::post(m_strand, [self = shared_from_this(), request, state, answer = std::move(answer)] {
        ClaimActions actions;
        const auto now = self->m_clock->now();
        self->m_engine->adopt(request);
        if (state == RunState::NotRun)
            self->m_engine->release(request.request, now, actions);
        else
            self->m_engine->recordOutcome(request.request, state, answer, now, actions);
        self->execute(actions);
    });
}

ClaimCounters ClaimDriver::counters() const
{
    const std::lock_guard lock(m_countersMutex);
    return m_counters;
}

void ClaimDriver::execute(ClaimActions& actions)
{
    for (const auto& action : actions)
        std::visit([this](const auto& it) { execute(it); }, action);
    m_pending.store(m_engine->pending(), std::memory_order_relaxed);
    publishCounters();
    m_timer.arm(m_engine->nextWake(), [self = shared_from_this()] {
        ClaimActions due;
        self->m_engine->onTimer(self->m_clock->now(), due);
        self->execute(due);
    });
}

void ClaimDriver::execute(const ReadObject& read)
{
    m_store->read(read.key, responseHandler(read.call));
}

void ClaimDriver::execute(const WriteObject& write)
{
    m_store->write(write.key, write.expected, write.value, responseHandler(write.call));
}

void ClaimDriver::execute(const ClaimDecided& decided)
{
    auto found = m_handlers.extract(decided.request);
    if (found)
        found.mapped()(decided);
}

ObjectStore::ObjectHandler ClaimDriver::responseHandler(StoreCallId call)
{
    return [self = shared_from_this(), call](StoreStatus status, StoredObject object) {
        boost::asio::post(self->m_strand, [self, response = StoreResponse { call, status, std::move(object) }] {
            ClaimActions actions;
            self->m_engine->onStoreResponse(response, self->m_clock->now(), actions);
            self->execute(actions);
        });
    };
}

void ClaimDriver::publishCounters()
{
    const auto now = m_clock->now();
    if (now - m_countersAt < countersPeriod)
        return;
    m_countersAt = now;
    const std::lock_guard lock(m_countersMutex);
    m_counters = m_engine->counters();
}

}
