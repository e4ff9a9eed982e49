#include "daemon/rules_role.h"

#include "membership/rule_watchers.h"
#include "observe/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace lycheefield {

namespace {

constexpr Duration initialBackoff = std::chrono::milliseconds(50);
constexpr Duration maxBackoff = std::chrono::seconds(5);
/// Interval of the checks whether the view selects this instance as a watcher.
constexpr Duration viewCheckPeriod = std::chrono::milliseconds(500);
/// Average interval of the reads of an instance that does not watch: a fallback for rules that no peer announced.
constexpr Duration nonWatcherReadPeriod = std::chrono::seconds(60);
/// Average interval of the reads of an instance that has no rules yet.
constexpr Duration initialReadPeriod = std::chrono::milliseconds(500);

}

RulesRole::RulesRole(RulesContext context, InstanceName self, std::uint32_t watchersPerZone)
    : m_context(std::move(context))
    , m_strand(boost::asio::make_strand(m_context.io))
    , m_timer(m_strand, m_context.clock)
    , m_self(std::move(self))
    , m_watchersPerZone(watchersPerZone)
    , m_random(systemSeed())
    , m_nextReadTime(m_context.clock->now())
{
}

void RulesRole::start(Listener listener)
{
    m_listener = std::move(listener);
    boost::asio::post(m_strand, [self = shared_from_this()] { self->wake(); });
}

/// Runs an event on the strand and executes the actions of the replicator.
template <typename Event>
void RulesRole::handle(Event event)
{
    boost::asio::post(m_strand, [self = shared_from_this(), event = std::move(event)] {
        RuleActions actions;
        event(*self, self->m_context.clock->now(), actions);
        self->execute(std::move(actions));
    });
}

void RulesRole::onPeerRevision(const InstanceName& peer, RuleRevision revision)
{
    handle([peer, revision](RulesRole& self, TimePoint now, RuleActions& actions) { self.m_replicator.onPeerRevision(peer, revision, now, actions); });
}

void RulesRole::onRequest(const InstanceName& peer, RuleRevision have)
{
    handle([peer, have](RulesRole& self, TimePoint, RuleActions& actions) { self.m_replicator.onRequest(peer, have, actions); });
}

void RulesRole::onDelta(const InstanceName& peer, RuleDelta delta)
{
    handle([peer, delta = std::move(delta)](RulesRole& self, TimePoint now, RuleActions& actions) { self.m_replicator.onDelta(peer, delta, now, actions); });
}

RuleReplicatorCounters RulesRole::counts() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

void RulesRole::execute(RuleActions actions)
{
    for (auto& it : actions) {
        if (auto* published = std::get_if<PublishRules>(&it)) {
            const auto revision = published->table.revision();
            m_context.publisher.publishRules(std::move(published->table));
            m_listener.onRules(revision);
        } else if (const auto* request = std::get_if<RequestRules>(&it)) {
            m_context.channel.send(request->peer, RuleRequest { request->have });
        } else if (auto* rules = std::get_if<SendRules>(&it)) {
            m_context.channel.reply(rules->peer, std::move(rules->delta));
        } else if (const auto* entry = std::get_if<LogRuleChange>(&it)) {
            logChange(LogLevel::Info, "rules changed", { { "change", entry->text } });
        }
    }
    m_isReady = m_replicator.isReady();
    {
        const std::lock_guard lock(m_mutex);
        m_counts = m_replicator.counts();
    }
    if (m_replicator.nextTimer() != never)
        m_timer.arm(m_replicator.nextTimer(), [self = shared_from_this()] { self->wake(); });
}

void RulesRole::wake()
{
    const auto now = m_context.clock->now();
    RuleActions actions;
    m_replicator.onTimer(now, actions);
    execute(std::move(actions));
    updateWatcher();
    if (!m_watcher && now >= m_nextReadTime)
        readStore(now);
    m_timer.arm(now + viewCheckPeriod, [self = shared_from_this()] { self->wake(); });
}

void RulesRole::updateWatcher()
{
    const bool wanted = watchesRules(*m_context.tables.view.read(), m_self, m_watchersPerZone);
    if (wanted == (m_watcher != nullptr))
        return;
    m_isWatching = wanted;
    if (!wanted) {
        m_watcher->stop();
        m_watcher.reset();
        return;
    }
    Backoff backoff(initialBackoff, maxBackoff, std::make_unique<SeededRandom>(systemSeed()));
    m_watcher = std::make_shared<StoreWatcher>(
        m_context.io.get_executor(), m_context.store, currentRulesKey, [self = shared_from_this()](const WatchBatch& batch) { self->onBatch(batch); }, std::move(backoff));
    m_watcher->start();
}

void RulesRole::onBatch(const WatchBatch& batch)
{
    if (batch.status != StoreStatus::Ok)
        return;
    handle([batch](RulesRole& self, TimePoint, RuleActions& actions) {
        self.m_listener.recordStoreResponse();
        for (const auto& it : batch.changed)
            self.onStored(StoreStatus::Ok, it.value, actions);
        if (batch.isFullList && batch.changed.empty())
            self.onStored(StoreStatus::NotFound, {}, actions);
    });
}

void RulesRole::readStore(TimePoint now)
{
    const auto period = m_replicator.isReady() ? nonWatcherReadPeriod : initialReadPeriod;
    m_nextReadTime = now + period / 2 + Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(period.count()))));
    m_context.store->read(currentRulesKey, [self = shared_from_this()](StoreStatus status, StoredObject object) {
        self->handle([status, object = std::move(object)](RulesRole& role, TimePoint, RuleActions& actions) {
            if (status == StoreStatus::Ok || status == StoreStatus::NotFound) {
                role.m_listener.recordStoreResponse();
                role.onStored(status, object.value, actions);
            }
        });
    });
}

void RulesRole::onStored(StoreStatus status, const std::string& value, RuleActions& actions)
{
    if (status == StoreStatus::NotFound) {
        m_replicator.onStoreEmpty();
        return;
    }
    const auto stored = parseStoredRules(value);
    if (stored)
        m_replicator.onStored(stored.value(), actions);
    else
        logChange(LogLevel::Error, "rules in the store could not be parsed; the current rules stay in force", { { "why", stored.error().message }, { "remedy", stored.error().remedy } });
}

}
