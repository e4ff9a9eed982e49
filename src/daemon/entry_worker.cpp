#include "daemon/entry_worker.h"

#include <boost/asio/post.hpp>

namespace lycheefield {

EntryWorker::EntryWorker(const EntryContext& context, std::unique_ptr<QueryEngine> engine)
    : m_context(context)
    , m_engine(std::move(engine))
    , m_strand(boost::asio::make_strand(context.io))
    , m_timer(m_strand, context.clock)
{
}

void EntryWorker::start(CallerRequest request, AnswerHandler handler)
{
    ++m_inFlight;
    boost::asio::post(m_strand, [self = shared_from_this(), request = std::move(request), handler = std::move(handler)]() mutable {
        self->m_handlers.emplace(request.id, std::move(handler));
        QueryActions actions;
        self->m_engine->start(request, self->m_context.tables.read(), self->m_context.clock->now(), actions);
        self->execute(actions);
    });
}

void EntryWorker::onLegResult(LegResult result)
{
    boost::asio::post(m_strand, [self = shared_from_this(), result = std::move(result)] {
        const auto now = self->m_context.clock->now();
        self->m_context.log.endLeg(result, now);
        QueryActions actions;
        self->m_engine->onLegResult(result, now, actions);
        self->execute(actions);
    });
}

void EntryWorker::onRelayDisconnected(const InstanceName& relay)
{
    boost::asio::post(m_strand, [self = shared_from_this(), relay] {
        QueryActions actions;
        self->m_engine->onRelayDisconnected(relay, self->m_context.clock->now(), actions);
        self->execute(actions);
    });
}

void EntryWorker::onServerState(const ServerState& state)
{
    boost::asio::post(m_strand, [self = shared_from_this(), state] {
        self->m_engine->onServerState(state, self->m_context.clock->now());
        self->arm();
    });
}

void EntryWorker::onCrashAnnounced(const CrashNews& news)
{
    boost::asio::post(m_strand, [self = shared_from_this(), news] {
        QueryActions actions;
        self->m_engine->onCrashAnnounced(news, self->m_context.clock->now(), actions);
        self->execute(actions);
    });
}

void EntryWorker::cancel(const RequestId& id, bool callerDisconnected, std::function<void(bool)> done)
{
    boost::asio::post(m_strand, [self = shared_from_this(), id, callerDisconnected, done = std::move(done)] {
        const auto it = self->m_handlers.find(id);
        const bool isInFlight = it != self->m_handlers.end();
        if (isInFlight) {
            QueryActions actions;
            self->m_engine->cancel(id, callerDisconnected, self->m_context.clock->now(), actions);
            if (callerDisconnected && self->m_handlers.erase(id) > 0)
                --self->m_inFlight;
            self->execute(actions);
        }
        if (done)
            done(isInFlight);
    });
}

QueryCounters EntryWorker::counters() const
{
    const std::lock_guard lock(m_countersMutex);
    return m_counters;
}

void EntryWorker::execute(QueryActions& actions)
{
    for (auto& it : actions)
        std::visit([this](auto& action) { execute(action); }, it);
    {
        const std::lock_guard lock(m_countersMutex);
        m_counters = m_engine->counters();
    }
    arm();
}

void EntryWorker::execute(SendWork& action)
{
    m_context.log.beginLegs(action.relay, action.work, m_context.clock->now());
    m_context.relays.sendWork(action.relay, std::move(action.work));
}

void EntryWorker::execute(CancelAttempt& action)
{
    m_context.relays.sendCancel(action.relay, action.key);
}

void EntryWorker::execute(DeliverAnswer& action)
{
    const auto it = m_handlers.find(action.answer.request);
    if (it == m_handlers.end())
        return;
    const auto handler = std::move(it->second);
    m_handlers.erase(it);
    --m_inFlight;
    m_context.log.end(action.answer, m_context.clock->now());
    handler(action.answer);
}

void EntryWorker::execute(LogDecision& action)
{
    m_context.log.recordDecision(action.request, std::move(action.text), m_context.clock->now());
}

void EntryWorker::arm()
{
    m_timer.arm(m_engine->nextWake(), [self = shared_from_this()] {
        QueryActions actions;
        self->m_engine->onTimer(self->m_context.clock->now(), actions);
        self->execute(actions);
    });
}

}
