#include "bench/dispatch/search_load.h"

#include <cmath>

namespace lycheefield::bench {

namespace {

/// One way between an entry and a relay.
constexpr Duration linkTime = 300us;

Rule searchRule(const std::string& path, Priority priority)
{
    Rule rule;
    rule.name = path;
    rule.pathPrefix = path;
    rule.service = ServiceName("quotedesk");
    rule.priority = priority;
    rule.deadline = 300ms;
    rule.softDeadline = 250ms;
    rule.minimumCoverage = Share { 0.95 };
    rule.preference = AnswerPreference::Tail;
    rule.comment = "the dispatch bench";
    return rule;
}

}

SearchLoad::SearchLoad(const SearchShape& shape)
    : m_world(shape.seed)
{
    for (std::uint32_t i = 0; i < shape.shards; ++i) {
        for (const auto* copy : { "a", "b" }) {
            TestBedServer server;
            server.name = "s" + std::to_string(i) + copy;
            server.shard = i;
            server.serviceTime = shape.serviceTime;
            m_world.addServer(server);
        }
    }
    for (std::uint32_t i = 0; i < shape.instances; ++i)
        m_world.addRelay("i" + std::to_string(i), shape.relaySettings);
    m_world.publishAll();
    buildTables(shape);
    m_world.onResult = [this](const LegResult& result) {
        m_world.at(m_world.now() + linkTime, [this, result] {
            auto& entry = m_entries.at(result.key.request.life.value() - 1);
            callEngine(entry, [&](QueryActions& actions) { entry.engine->onLegResult(result, m_world.now(), actions); });
        });
    };
    m_world.onServerState = [this](const ServerState& state) {
        for (auto& it : m_entries)
            it.engine->onServerState(state, m_world.now());
    };
    m_world.runUntil(m_world.now() + 100ms);
}

void SearchLoad::buildTables(const SearchShape& shape)
{
    std::vector<Instance> instances;
    for (std::uint32_t i = 0; i < shape.instances; ++i) {
        Instance instance;
        instance.name = InstanceName("i" + std::to_string(i));
        instance.zone = ZoneName("a");
        instances.push_back(instance);
        auto engine = makeQueryEngine(shape.entrySettings, instance.name, instance.zone, std::make_unique<SeededRandom>(m_world.random().next()));
        m_entries.push_back({ instance.name, std::move(engine) });
    }
    m_tables.shards = m_world.shardMap();
    m_tables.ownership = std::make_shared<Ownership>(MembershipView(instances), *m_tables.shards);
    m_tables.rules = std::make_shared<RuleTable>(RuleRevision(1), std::vector<Rule> { searchRule("/van", Priority::Van), searchRule("/desk", Priority::Desk) }, "");
}

void SearchLoad::start(const std::string& path, double perSecond, TimePoint until)
{
    const auto gap = -std::log(1 - m_world.random().unit()) / perSecond;
    const auto next = m_world.now() + Duration(static_cast<Duration::rep>(gap * 1e6));
    if (next < until)
        m_world.at(next, [this, path, perSecond, until] { arrive(path, perSecond, until); });
}

void SearchLoad::arrive(const std::string& path, double perSecond, TimePoint until)
{
    start(path, perSecond, until);
    auto& entry = m_entries[m_world.random().below(m_entries.size())];
    CallerRequest request;
    request.id = { ProcessLife(static_cast<std::uint64_t>(&entry - m_entries.data()) + 1), ++entry.requests };
    request.path = path;
    request.body = std::make_shared<const std::string>(path + std::to_string(m_world.random().next()));
    ++m_figures[path].sent;
    m_sent[request.id] = { path, m_world.now() + 300ms };
    callEngine(entry, [&](QueryActions& actions) { entry.engine->start(request, m_tables, m_world.now(), actions); });
}

template <typename Call>
void SearchLoad::callEngine(Entry& entry, Call call)
{
    QueryActions actions;
    call(actions);
    perform(entry, actions);
    arm(entry);
}

void SearchLoad::perform(Entry& entry, QueryActions& actions)
{
    for (auto& action : actions) {
        if (auto* work = std::get_if<SendWork>(&action)) {
            m_world.at(m_world.now() + linkTime, [this, relay = work->relay.value(), order = std::move(work->work)] { m_world.sendWork(relay, order); });
        } else if (const auto* cancel = std::get_if<SendCancel>(&action)) {
            m_world.at(m_world.now() + linkTime, [this, relay = cancel->relay.value(), key = cancel->key] { m_world.cancel(relay, key); });
        } else if (const auto* delivered = std::get_if<DeliverAnswer>(&action)) {
            const auto& answer = delivered->answer;
            const auto sent = m_sent.extract(answer.request).mapped();
            auto& figures = m_figures[sent.path];
            if (answer.refusal)
                figures.notAdmitted += answer.runState == RunState::NotRun;
            else if (m_world.now() <= sent.deadline)
                ++(answer.isComplete() ? figures.complete : figures.partial);
        }
    }
}

void SearchLoad::arm(Entry& entry)
{
    const auto due = entry.engine->nextWake();
    if (due >= entry.wakeAt)
        return;
    entry.wakeAt = due;
    m_world.at(std::max(due, m_world.now()), [this, &entry, due] {
        if (entry.wakeAt != due)
            return;
        entry.wakeAt = never;
        callEngine(entry, [&](QueryActions& actions) { entry.engine->onTimer(m_world.now(), actions); });
    });
}

QueryCounters SearchLoad::counters() const
{
    QueryCounters sum;
    for (const auto& it : m_entries)
        sum += it.engine->counters();
    return sum;
}

}
