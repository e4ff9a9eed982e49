#include "bench/dispatch/search_load.h"

#include <cmath>

namespace lycheefield::bench {

namespace {

/// One-way delay between an entry and a relay.
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
    rule.minCoverage = Share { 0.95 };
    rule.preference = AnswerPreference::Tail;
    rule.comment = "the dispatch bench";
    return rule;
}

}

SearchLoad::SearchLoad(const SearchShape& shape)
    : m_testBed(shape.seed)
{
    for (std::uint32_t i = 0; i < shape.shards; ++i) {
        for (const auto* copy : { "a", "b" }) {
            TestBedServer server;
            server.name = "s" + std::to_string(i) + copy;
            server.shard = i;
            server.serviceTime = shape.serviceTime;
            m_testBed.addServer(server);
        }
    }
    for (std::uint32_t i = 0; i < shape.instances; ++i)
        m_testBed.addRelay("i" + std::to_string(i), shape.relaySettings);
    m_testBed.publishAll();
    buildTables(shape);
    m_testBed.onResult = [this](const LegResult& result) {
        m_testBed.at(m_testBed.now() + linkTime, [this, result] {
            auto& entry = m_entries.at(result.key.request.life.value() - 1);
            callEngine(entry, [&](QueryActions& actions) { entry.engine->onLegResult(result, m_testBed.now(), actions); });
        });
    };
    m_testBed.onServerState = [this](const ServerState& state) {
        for (auto& it : m_entries)
            it.engine->onServerState(state, m_testBed.now());
    };
    m_testBed.runUntil(m_testBed.now() + 100ms);
}

void SearchLoad::buildTables(const SearchShape& shape)
{
    std::vector<Instance> instances;
    for (std::uint32_t i = 0; i < shape.instances; ++i) {
        Instance instance;
        instance.name = InstanceName("i" + std::to_string(i));
        instance.zone = ZoneName("a");
        instances.push_back(instance);
        auto engine = makeQueryEngine(shape.entrySettings, instance.name, instance.zone, std::make_unique<SeededRandom>(m_testBed.random().next()));
        m_entries.push_back({ instance.name, std::move(engine) });
    }
    m_tables.shards = m_testBed.shardMap();
    m_tables.ownership = std::make_shared<Ownership>(MembershipView(instances), *m_tables.shards);
    m_tables.rules = std::make_shared<RuleTable>(RuleRevision(1), std::vector<Rule> { searchRule("/van", Priority::Van), searchRule("/desk", Priority::Desk) }, "");
}

void SearchLoad::start(const std::string& path, double perSecond, TimePoint until)
{
    const auto gap = -std::log(1 - m_testBed.random().unit()) / perSecond;
    const auto next = m_testBed.now() + Duration(static_cast<Duration::rep>(gap * 1e6));
    if (next < until)
        m_testBed.at(next, [this, path, perSecond, until] { arrive(path, perSecond, until); });
}

void SearchLoad::arrive(const std::string& path, double perSecond, TimePoint until)
{
    start(path, perSecond, until);
    auto& entry = m_entries[m_testBed.random().below(m_entries.size())];
    CallerRequest request;
    request.id = { ProcessLife(static_cast<std::uint64_t>(&entry - m_entries.data()) + 1), ++entry.requests };
    request.path = path;
    request.body = std::make_shared<const std::string>(path + std::to_string(m_testBed.random().next()));
    ++m_figures[path].sent;
    m_sent[request.id] = { path, m_testBed.now() + 300ms };
    callEngine(entry, [&](QueryActions& actions) { entry.engine->start(request, m_tables, m_testBed.now(), actions); });
}

template <typename Call>
void SearchLoad::callEngine(Entry& entry, Call call)
{
    QueryActions actions;
    call(actions);
    execute(entry, actions);
    scheduleWake(entry);
}

void SearchLoad::execute(Entry& entry, QueryActions& actions)
{
    for (auto& action : actions) {
        if (auto* work = std::get_if<SendWork>(&action)) {
            m_testBed.at(m_testBed.now() + linkTime, [this, relay = work->relay.value(), order = std::move(work->work)] { m_testBed.sendWork(relay, order); });
        } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
            m_testBed.at(m_testBed.now() + linkTime, [this, relay = cancel->relay.value(), key = cancel->key] { m_testBed.cancel(relay, key); });
        } else if (const auto* delivered = std::get_if<DeliverAnswer>(&action)) {
            const auto& answer = delivered->answer;
            const auto sent = m_sent.extract(answer.request).mapped();
            auto& figures = m_figures[sent.path];
            if (answer.refusal)
                figures.notAdmitted += answer.runState == RunState::NotRun;
            else if (m_testBed.now() <= sent.deadline)
                ++(answer.isComplete() ? figures.complete : figures.partial);
        }
    }
}

void SearchLoad::scheduleWake(Entry& entry)
{
    const auto due = entry.engine->nextWake();
    if (due >= entry.wakeAt)
        return;
    entry.wakeAt = due;
    m_testBed.at(std::max(due, m_testBed.now()), [this, &entry, due] {
        if (entry.wakeAt != due)
            return;
        entry.wakeAt = never;
        callEngine(entry, [&](QueryActions& actions) { entry.engine->onTimer(m_testBed.now(), actions); });
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
