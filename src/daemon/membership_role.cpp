#include "daemon/membership_role.h"

#include "membership/rule_watchers.h"
#include "observe/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace lycheefield {

namespace {

/// Interval between attempts while the platform has not accepted the registration or returned the list.
constexpr Duration retryPeriod = std::chrono::milliseconds(200);
/// An instance that does not watch the store reads the list at an interval this many times longer.
constexpr int nonWatcherListFactor = 12;

}

MembershipRole::MembershipRole(MembershipContext context, const MembershipSettings& settings, Instance self, Duration listPeriod)
    : m_context(std::move(context))
    , m_strand(boost::asio::make_strand(m_context.io))
    , m_timer(m_strand, m_context.clock)
    , m_settings(settings)
    , m_self(std::move(self))
    , m_listPeriod(listPeriod)
    , m_random(systemSeed())
    , m_engine(m_self, settings, m_random, m_context.clock->now())
    , m_nextListTime(m_context.clock->now())
{
}

void MembershipRole::start(RevisionHandler onRevision)
{
    m_onRevision = std::move(onRevision);
    m_context.publisher.publishView(m_engine.view());
    boost::asio::post(m_strand, [self = shared_from_this()] { self->wake(); });
}

/// Runs an event on the strand and executes the actions of the engine.
template <typename Event>
void MembershipRole::handle(Event event)
{
    boost::asio::post(m_strand, [self = shared_from_this(), event = std::move(event)] {
        MembershipActions actions;
        event(*self, self->m_context.clock->now(), actions);
        self->execute(std::move(actions));
    });
}

void MembershipRole::onGossip(const InstanceName& from, GossipMessage message)
{
    handle([from, message = std::move(message)](MembershipRole& self, TimePoint now, MembershipActions& actions) {
        self.m_engine.onMessage(from, message, now, actions);
        self.m_onRevision(from, message.ruleRevision);
    });
}

void MembershipRole::onNotSent(const InstanceName& to)
{
    handle([to](MembershipRole& self, TimePoint, MembershipActions&) { self.m_engine.onNotSent(to); });
}

void MembershipRole::onRules(RuleRevision revision)
{
    handle([revision](MembershipRole& self, TimePoint, MembershipActions& actions) { self.m_engine.setRuleRevision(revision, actions); });
}

void MembershipRole::recordStoreResponse()
{
    handle([](MembershipRole& self, TimePoint now, MembershipActions&) { self.m_engine.recordStoreResponse(now); });
}

void MembershipRole::beginLeaving()
{
    handle([](MembershipRole& self, TimePoint, MembershipActions& actions) {
        self.m_self.health = InstanceHealth::Leaving;
        self.m_isReported = false;
        self.m_engine.leave(actions);
        self.report();
    });
}

void MembershipRole::depart()
{
    handle([](MembershipRole& self, TimePoint, MembershipActions& actions) { self.m_engine.depart(actions); });
}

MembershipCounters MembershipRole::counts() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

void MembershipRole::execute(MembershipActions actions)
{
    for (auto& it : actions) {
        if (auto* view = std::get_if<PublishView>(&it)) {
            m_context.publisher.publishView(std::move(view->view));
        } else if (auto* gossip = std::get_if<SendGossip>(&it)) {
            const bool answersProbe = gossip->message.isAnswer && gossip->message.sequence;
            if (answersProbe)
                m_context.channel.reply(gossip->to, std::move(gossip->message));
            else
                m_context.channel.send(gossip->to, std::move(gossip->message));
        } else if (const auto* entry = std::get_if<LogMembershipChange>(&it)) {
            logChange(LogLevel::Info, "membership changed", { { "change", entry->text } });
        }
    }
}

void MembershipRole::wake()
{
    const auto now = m_context.clock->now();
    countBytes(now);
    MembershipActions actions;
    m_engine.onTimer(now, actions);
    execute(std::move(actions));
    m_isIsolated = m_engine.isIsolated(now);
    m_isSuperseded = m_engine.isSuperseded();
    maintainList();
    {
        const std::lock_guard lock(m_mutex);
        m_counts = m_engine.counts();
    }
    const auto next = std::min(m_engine.nextTimer(), now + retryPeriod);
    m_timer.arm(std::max(next, now + Duration(1)), [self = shared_from_this()] { self->wake(); });
}

void MembershipRole::countBytes(TimePoint now)
{
    const auto bytes = m_context.channel.bytes();
    m_engine.onBytes(ByteCount { bytes.sent.value + bytes.received.value - m_countedBytes.sent.value - m_countedBytes.received.value }, now);
    m_countedBytes = bytes;
}

/// Registers this instance until the platform has accepted it, and reads the platform's list: at start and
/// while no peer responds at short intervals, otherwise at the list period in the few instances of each zone that
/// watch the store, and seldom in the others.
void MembershipRole::maintainList()
{
    const auto now = m_context.clock->now();
    if (now < m_nextListTime)
        return;
    report();
    fetchList();
    const bool hasPeers = m_engine.view().instances().size() > 1;
    const bool isWatcher = watchesRules(m_engine.view(), m_self.name, m_settings.watchersPerZone);
    const bool hasNoContact = !hasPeers || m_engine.isIsolated(now + m_settings.isolationTime / 2);
    auto period = !m_isReported ? retryPeriod : isWatcher ? m_listPeriod
                                                          : nonWatcherListFactor * m_listPeriod;
    if (hasNoContact)
        period = std::min(period, m_settings.isolationTime / 5);
    m_nextListTime = now + period / 2 + Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(period.count()))));
}

void MembershipRole::report()
{
    if (m_isReported || m_isReporting)
        return;
    m_isReporting = true;
    m_context.list->report(m_self, [self = shared_from_this(), health = m_self.health](bool done) {
        boost::asio::post(self->m_strand, [self, done, health] {
            self->m_isReporting = false;
            self->m_isReported = self->m_isReported || (done && health == self->m_self.health);
        });
    });
}

void MembershipRole::fetchList()
{
    if (m_isFetchingList)
        return;
    m_isFetchingList = true;
    m_context.list->fetch([self = shared_from_this()](std::optional<std::vector<Instance>> list) {
        self->handle([list = std::move(list)](MembershipRole& role, TimePoint now, MembershipActions& actions) {
            role.m_isFetchingList = false;
            if (!list)
                return;
            role.m_engine.recordStoreResponse(now);
            role.m_engine.onListed(*list, now, actions);
        });
    });
}

}
