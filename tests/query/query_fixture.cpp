#include "query_fixture.h"

#include <algorithm>

namespace lycheefield {

namespace {

const ProcessLife fixtureLife(42);

Rule ruleOf(const std::string& path, RequestKind kind, AnswerPreference preference, double coverage)
{
    Rule rule;
    rule.name = path.substr(1);
    rule.pathPrefix = path;
    rule.service = ServiceName("quotedesk");
    rule.kind = kind;
    rule.preference = preference;
    rule.minCoverage = Share { coverage };
    rule.deadline = 100ms;
    rule.softDeadline = 40ms;
    rule.comment = "the tests";
    return rule;
}

Instance instanceOf(const std::string& name, const std::string& zone)
{
    Instance instance;
    instance.name = InstanceName(name);
    instance.zone = ZoneName(zone);
    return instance;
}

}

QueryFixture::QueryFixture(std::uint32_t shards, const QuerySettings& settings, std::uint64_t seed, std::shared_ptr<RuleBudgets> budgets)
    : engine(makeQueryEngine(settings, InstanceName("ra"), ZoneName("a"), std::make_unique<SeededRandom>(seed), std::shared_ptr<const TableSource>(std::shared_ptr<void>(), this), std::move(budgets)))
{
    Service service;
    service.name = ServiceName("quotedesk");
    service.epoch = PartitionEpoch(5);
    for (std::uint32_t i = 0; i < shards; ++i) {
        Shard shard { ShardNumber(i), { BatchId("batch" + std::to_string(i)) }, {} };
        for (const std::string zone : { "a", "b" }) {
            Server server;
            server.name = ServerName("s" + std::to_string(i) + zone);
            server.zone = ZoneName(zone);
            server.service = service.name;
            server.slots = 2;
            server.versions = { IndexVersion(10) };
            shard.replicas.push_back(server.name);
            servers.push_back(server);
        }
        service.shards.push_back(shard);
    }
    services = { service };
    // Two instances per zone: with one, ownership would assign instances of the other zone.
    instances = { instanceOf("ra", "a"), instanceOf("rb", "b"), instanceOf("ra2", "a"), instanceOf("rb2", "b") };
    rules = { ruleOf("/search", RequestKind::Search, AnswerPreference::Coverage, 0.75), ruleOf("/tail", RequestKind::Search, AnswerPreference::Tail, 0.75),
        ruleOf("/record", RequestKind::Record, AnswerPreference::Coverage, 1), ruleOf("/order", RequestKind::Order, AnswerPreference::Coverage, 1) };
}

QueryTables QueryFixture::tables() const
{
    QueryTables tables;
    const ShardMap map(services, servers);
    tables.rules = std::make_shared<RuleTable>(RuleRevision(1), rules, "");
    tables.shards = std::make_shared<ShardMap>(map);
    tables.ownership = std::make_shared<Ownership>(MembershipView(instances), map);
    return tables;
}

RequestId QueryFixture::start(const std::string& path, const std::string& record, const std::string& body)
{
    CallerRequest request;
    request.id = { fixtureLife, ++m_next };
    request.path = path;
    request.record = record;
    request.body = std::make_shared<const std::string>(body);
    engine->start(request, tables(), now, actions);
    return request.id;
}

LegResult QueryFixture::resultOf(const SendWork& sent, const LegOrder& leg, LegOutcome outcome) const
{
    LegResult result;
    result.key = { sent.work.request, leg.leg, leg.attempt };
    result.shard = leg.shard;
    result.outcome = outcome;
    result.version = sent.work.version;
    result.epoch = sent.work.epoch;
    if (outcome == LegOutcome::Ok) {
        result.batches = { BatchId("batch" + std::to_string(leg.shard.value())) };
        result.body = "\"" + leg.server.value() + "\"";
    }
    result.state.server = leg.server;
    result.state.slots = 2;
    result.state.versions = { sent.work.version };
    return result;
}

void QueryFixture::send(const LegResult& result)
{
    engine->onLegResult(result, now, actions);
}

void QueryFixture::answer(const SendWork& sent, const LegOrder& leg)
{
    end(sent, leg, LegOutcome::Ok);
}

void QueryFixture::end(const SendWork& sent, const LegOrder& leg, LegOutcome outcome)
{
    send(resultOf(sent, leg, outcome));
}

void QueryFixture::crash(const SendWork& sent, const LegOrder& leg)
{
    auto result = resultOf(sent, leg, LegOutcome::Lost);
    result.crashed = true;
    send(result);
}

void QueryFixture::setVersions(const std::vector<IndexVersion>& versions)
{
    for (auto& it : servers)
        it.versions = versions;
}

void QueryFixture::answerAll()
{
    for (auto work = takeWork(); !work.empty(); work = takeWork()) {
        for (const auto& sent : work) {
            for (const auto& leg : sent.work.legs)
                answer(sent, leg);
        }
    }
}

void QueryFixture::advance(Duration duration)
{
    const auto end = now + duration;
    while (engine->nextWake() <= end) {
        now = std::max(now, engine->nextWake());
        engine->onTimer(now, actions);
    }
    now = end;
}

template <typename Action>
std::vector<Action> QueryFixture::take()
{
    std::vector<Action> taken;
    QueryActions rest;
    for (auto& it : actions) {
        if (auto* action = std::get_if<Action>(&it))
            taken.push_back(std::move(*action));
        else
            rest.push_back(std::move(it));
    }
    actions = std::move(rest);
    return taken;
}

std::vector<SendWork> QueryFixture::takeWork()
{
    return take<SendWork>();
}

std::vector<CancelAttempt> QueryFixture::takeCancels()
{
    return take<CancelAttempt>();
}

std::vector<Answer> QueryFixture::takeAnswers()
{
    std::vector<Answer> answers;
    for (auto& it : take<DeliverAnswer>())
        answers.push_back(std::move(it.answer));
    return answers;
}

std::size_t QueryFixture::legCount(const std::vector<SendWork>& work) const
{
    std::size_t n = 0;
    for (const auto& it : work)
        n += it.work.legs.size();
    return n;
}

}
