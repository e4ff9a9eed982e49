#include "fault_matrix/cell.h"

#include "rules/rule_writer.h"
#include "rules/stored_rules.h"
#include "standin/platform_store.h"
#include "support/membership_cluster.h"

#include <algorithm>
#include <optional>

namespace lycheefield::fault_matrix {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodes = 9;
constexpr std::size_t zones = 3;
constexpr Duration tick = 5ms;
constexpr Duration storeLatency = 2ms;
constexpr Duration storeTimeout = 500ms;
constexpr Duration faultTime = 4s;
constexpr Duration inForceBound = 3s;
constexpr auto ruleText = "match /search service desk kind search priority van deadline 1s coverage 100% prefer coverage  # asked by operator ";

/// One run of `lycheefield apply`, step by step against the store.
struct Operator {
    RuleWriter writer;
    std::string text;
    std::optional<RuleWriterAction> action;
    TimePoint due = never;
    std::optional<RuleRevision> accepted;
    bool isDone = false;
};

class ControlWorld {
public:
    explicit ControlWorld(const Cell& cell)
        : m_cell(cell)
        , m_cluster(cell.seed, MembershipSettings {})
    {
        m_cluster.startMany(nodes, zones);
        m_cluster.runFor(3s);
        apply(0);
        runFor(5s);
    }

    std::vector<std::string> run()
    {
        if (m_cell.operation == Operation::Apply)
            runApply();
        else
            runJoin();
        runFor(faultTime + inForceBound + 8s);
        checkRevisions();
        if (!m_isBroughtAbout)
            m_violations.push_back("the step was never reached");
        return m_violations;
    }

private:
    TimePoint now() const { return m_cluster.now(); }

    RuleRevision newestAccepted() const
    {
        RuleRevision newest;
        for (const auto& it : m_operators)
            newest = std::max(newest, it->accepted.value_or(RuleRevision()));
        return newest;
    }

    void apply(std::uint64_t base)
    {
        const auto name = std::to_string(m_operators.size());
        RuleProposal proposal { RuleRevision(base), RuleRevision(base), ApplyId("apply " + name), "operator " + name, "", ruleText + name + "\n" };
        auto it = std::make_unique<Operator>(Operator { RuleWriter(proposal), proposal.text, std::nullopt, never, std::nullopt, false });
        it->action = it->writer.start();
        it->due = now() + storeLatency;
        m_operators.push_back(std::move(it));
    }

    void runFor(Duration duration)
    {
        const auto end = now() + duration;
        while (now() < end) {
            m_cluster.runFor(tick);
            m_store.advance(now());
            heal();
            for (std::size_t i = 0; i < m_operators.size(); ++i)
                step(*m_operators[i]);
            watchStore();
        }
    }

    void step(Operator& it)
    {
        if (it.isDone || it.due > now())
            return;
        const auto action = *it.action;
        if (const auto* read = std::get_if<ReadRulesObject>(&action))
            return next(
                it, m_store.read(read->key, now()), [&it](StoreStatus status, const StoredObject& object) { return it.writer.onRead(status, object); }, Step::RulesRead);
        if (const auto* write = std::get_if<WriteRulesObject>(&action))
            return next(
                it, m_store.write(write->key, write->expected, write->value, now()), [&it](StoreStatus status, const StoredObject&) { return it.writer.onWritten(status); }, write->key == currentRulesKey ? Step::RulesWritten : Step::Started);
        if (std::holds_alternative<PauseBeforeRetry>(action)) {
            it.action = it.writer.onRetry();
            it.due = now() + 200ms;
            return;
        }
        it.isDone = true;
        if (const auto* accepted = std::get_if<RulesAccepted>(&action)) {
            it.accepted = accepted->revision;
            onAccepted(it);
        }
    }

    template <typename Answered>
    void next(Operator& it, const standin::PlatformAnswer& answer, const Answered& answered, Step reachedStep)
    {
        const bool isLost = answer.lost || answer.delay > storeTimeout;
        it.due = now() + (isLost ? storeTimeout : storeLatency + answer.delay);
        const bool isAccepted = !isLost && answer.status == standin::PlatformStatus::Ok;
        if (isAccepted || answer.lost)
            reached(reachedStep);
        it.action = answered(isLost ? StoreStatus::Lost : standin::toStoreStatus(answer), answer.object);
    }

    void onAccepted(const Operator& it)
    {
        for (const auto& other : m_operators) {
            if (other.get() != &it && other->accepted == it.accepted)
                m_violations.push_back("two operators were both accepted at revision " + std::to_string(it.accepted->value()));
        }
    }

    /// The watchers of the rules see what the store holds, as soon as it answers.
    void watchStore()
    {
        if (m_store.faults().outage)
            return;
        const auto& objects = m_store.objects();
        const auto it = objects.find(currentRulesKey);
        if (it == objects.end() || it->second.version.value == m_seenVersion)
            return;
        m_seenVersion = it->second.version.value;
        const auto rules = parseStoredRules(it->second.value);
        if (rules)
            m_cluster.storeRules(rules.value(), storeLatency + m_store.faults().delay);
    }

    void reached(Step step)
    {
        if (m_isArmed && step == m_cell.step)
            bringAbout();
    }

    void bringAbout()
    {
        if (std::exchange(m_isBroughtAbout, true))
            return;
        m_healAt = now() + faultTime;
        for (const auto it : m_cell.faults)
            bringAbout(it);
    }

    void bringAbout(Fault fault)
    {
        standin::PlatformFaults faults = m_store.faults();
        if (fault == Fault::StoreDown)
            faults.outage = true;
        if (fault == Fault::StoreSlow)
            faults.delay = 400ms;
        if (fault == Fault::WriteAnswerLost) {
            faults.loseWriteAnswers = 2;
            faults.lateWrites = 1;
        }
        m_store.setFaults(faults);
        if (fault == Fault::LeaseHolderPaused)
            m_cluster.pause("i1");
        if (fault == Fault::TwoOperators)
            apply(1);
        if (fault == Fault::InstanceStoppedHard)
            m_cluster.stop("i2");
        if (fault == Fault::InstanceListStale)
            m_cluster.stop("i5");
        if (fault == Fault::LinkCutOneWay) {
            for (std::size_t i = 0; i < nodes; ++i)
                m_cluster.network().cuts.insert({ InstanceName("i3"), InstanceName("i" + std::to_string(i)) });
        }
    }

    void heal()
    {
        if (now() < m_healAt)
            return;
        m_healAt = never;
        m_store.setFaults({});
        m_cluster.network().cuts.clear();
        for (const auto it : m_cell.faults) {
            if (it == Fault::LeaseHolderPaused)
                m_cluster.resume("i1");
            if (it == Fault::InstanceStoppedHard)
                m_cluster.start("i2", "z2");
        }
    }

    void runApply()
    {
        m_isArmed = true;
        if (m_cell.step == Step::Before)
            bringAbout();
        apply(1);
        if (m_cell.step == Step::FirstInForce) {
            while (!m_cluster.countWith(RuleRevision(2)) && now() < TimePoint(60s))
                runFor(tick);
            bringAbout();
        }
        if (m_cell.step == Step::Late) {
            runFor(1s);
            bringAbout();
        }
        const bool isUndisturbed = m_cell.step == Step::Late;
        if (isUndisturbed)
            checkInForceWithin();
    }

    void runJoin()
    {
        m_isArmed = true;
        if (m_cell.step == Step::Before)
            bringAbout();
        runFor(50ms);
        m_cluster.start("i9", "z0");
        if (m_cell.step == Step::Started)
            bringAbout();
        runFor(20ms);
        if (m_cell.step == Step::Listed)
            bringAbout();
        runFor(1s);
        if (m_cell.step == Step::Late)
            bringAbout();
        runFor(inForceBound);
        const auto& joined = m_cluster.node("i9");
        if (!joined.keeper.isReady() || joined.keeper.revision() < RuleRevision(1))
            m_violations.push_back("the new instance has no rules after 3 s");
    }

    void checkInForceWithin()
    {
        runFor(inForceBound - 1s);
        for (auto& [name, node] : m_cluster.nodes()) {
            if (!node.stopped && !node.paused && node.keeper.revision() < newestAccepted())
                m_violations.push_back(name.value() + " has not the accepted revision in force after 3 s");
        }
    }

    void checkRevisions()
    {
        const auto newest = newestAccepted();
        for (auto& [name, node] : m_cluster.nodes()) {
            const bool rises = std::is_sorted(node.revisions.begin(), node.revisions.end());
            if (!rises)
                m_violations.push_back(name.value() + " went back to a lower revision");
            if (!node.stopped && node.keeper.revision() < newest)
                m_violations.push_back(name.value() + " never had the accepted revision in force");
        }
        if (m_cell.operation == Operation::Apply && newest < RuleRevision(2))
            m_violations.push_back("nobody's rules were accepted in the end");
        for (const auto& it : m_operators) {
            if (!it->isDone)
                m_violations.push_back("an operator got no answer");
        }
    }

    const Cell& m_cell;
    MembershipCluster m_cluster;
    standin::PlatformStore m_store;
    std::vector<std::unique_ptr<Operator>> m_operators;
    std::vector<std::string> m_violations;
    std::uint64_t m_seenVersion = 0;
    TimePoint m_healAt = never;
    bool m_isArmed = false;
    bool m_isBroughtAbout = false;
};

}

std::vector<std::string> runControlCell(const Cell& cell)
{
    return ControlWorld(cell).run();
}

}
