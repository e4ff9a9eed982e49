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
constexpr Duration faultDuration = 4s;
constexpr Duration maxInForceDelay = 3s;
constexpr auto ruleText = "match /search service desk kind search priority van deadline 1s coverage 100% prefer coverage  # asked by operator ";

/// One run of `lycheefield apply`, executed step by step against the store.
struct Operator {
    RuleWriter writer;
    std::string text;
    std::optional<RuleWriterAction> action;
    TimePoint due = never;
    std::optional<RuleRevision> accepted;
    bool isDone = false;
};

class ControlTestBed {
public:
    explicit ControlTestBed(const Cell& cell)
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
        runFor(faultDuration + maxInForceDelay + 8s);
        checkRevisions();
        if (!m_isInjected)
            m_violations.push_back("the operation never reached the step of the fault");
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
            endFaults();
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
            return handleResponse(
                it, m_store.read(read->key, now()), [&it](StoreStatus status, const StoredObject& object) { return it.writer.onRead(status, object); }, Step::RulesRead);
        if (const auto* write = std::get_if<WriteRulesObject>(&action))
            return handleResponse(
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
    void handleResponse(Operator& it, const standin::StoreResult& answer, const Answered& onResponse, Step reachedStep)
    {
        const bool isLost = answer.lost || answer.delay > storeTimeout;
        it.due = now() + (isLost ? storeTimeout : storeLatency + answer.delay);
        const bool isAccepted = !isLost && answer.status == standin::PlatformStatus::Ok;
        if (isAccepted || answer.lost)
            reportStep(reachedStep);
        it.action = onResponse(isLost ? StoreStatus::Lost : standin::toStoreStatus(answer), answer.object);
    }

    void onAccepted(const Operator& it)
    {
        for (const auto& other : m_operators) {
            if (other.get() != &it && other->accepted == it.accepted)
                m_violations.push_back("the rules of two operators were accepted at the same revision " + std::to_string(it.accepted->value()));
        }
    }

    /// Notifies the watchers of changed rules in the store, unless the store is unreachable.
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

    void reportStep(Step step)
    {
        if (m_mayInject && step == m_cell.step)
            injectFaults();
    }

    void injectFaults()
    {
        if (std::exchange(m_isInjected, true))
            return;
        m_faultsEndAt = now() + faultDuration;
        for (const auto it : m_cell.faults)
            injectFault(it);
    }

    void injectFault(Fault fault)
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
        if (fault == Fault::InstanceKilled)
            m_cluster.stop("i2");
        if (fault == Fault::InstanceListStale)
            m_cluster.stop("i5");
        if (fault == Fault::LinkCutOneWay) {
            for (std::size_t i = 0; i < nodes; ++i)
                m_cluster.network().cuts.insert({ InstanceName("i3"), InstanceName("i" + std::to_string(i)) });
        }
    }

    void endFaults()
    {
        if (now() < m_faultsEndAt)
            return;
        m_faultsEndAt = never;
        m_store.setFaults({});
        m_cluster.network().cuts.clear();
        for (const auto it : m_cell.faults) {
            if (it == Fault::LeaseHolderPaused)
                m_cluster.resume("i1");
            if (it == Fault::InstanceKilled)
                m_cluster.start("i2", "z2");
        }
    }

    void runApply()
    {
        m_mayInject = true;
        if (m_cell.step == Step::Before)
            injectFaults();
        apply(1);
        if (m_cell.step == Step::FirstInForce) {
            while (!m_cluster.countWithRevision(RuleRevision(2)) && now() < TimePoint(60s))
                runFor(tick);
            injectFaults();
        }
        if (m_cell.step == Step::Late) {
            runFor(1s);
            injectFaults();
        }
        const bool isUndisturbed = m_cell.step == Step::Late;
        if (isUndisturbed)
            checkInForceWithin();
    }

    void runJoin()
    {
        m_mayInject = true;
        if (m_cell.step == Step::Before)
            injectFaults();
        runFor(50ms);
        m_cluster.start("i9", "z0");
        if (m_cell.step == Step::Started)
            injectFaults();
        runFor(20ms);
        if (m_cell.step == Step::Listed)
            injectFaults();
        runFor(1s);
        if (m_cell.step == Step::Late)
            injectFaults();
        runFor(maxInForceDelay);
        const auto& joined = m_cluster.node("i9");
        if (!joined.replicator.isReady() || joined.replicator.revision() < RuleRevision(1))
            m_violations.push_back("the new instance has no rules in force 3 s after the last step");
    }

    void checkInForceWithin()
    {
        runFor(maxInForceDelay - 1s);
        for (auto& [name, node] : m_cluster.nodes()) {
            if (!node.stopped && !node.paused && node.replicator.revision() < newestAccepted())
                m_violations.push_back(name.value() + " does not have the accepted revision in force 3 s after the change");
        }
    }

    void checkRevisions()
    {
        const auto newest = newestAccepted();
        for (auto& [name, node] : m_cluster.nodes()) {
            const bool isSorted = std::is_sorted(node.revisions.begin(), node.revisions.end());
            if (!isSorted)
                m_violations.push_back(name.value() + " returned to a lower revision");
            if (!node.stopped && node.replicator.revision() < newest)
                m_violations.push_back(name.value() + " never had the accepted revision in force");
        }
        if (m_cell.operation == Operation::Apply && newest < RuleRevision(2))
            m_violations.push_back("no operator's rules were accepted");
        for (const auto& it : m_operators) {
            if (!it->isDone)
                m_violations.push_back("an operator got no verdict");
        }
    }

    const Cell& m_cell;
    MembershipCluster m_cluster;
    standin::PlatformStore m_store;
    std::vector<std::unique_ptr<Operator>> m_operators;
    std::vector<std::string> m_violations;
    std::uint64_t m_seenVersion = 0;
    TimePoint m_faultsEndAt = never;
    bool m_mayInject = false;
    bool m_isInjected = false;
};

}

std::vector<std::string> runControlCell(const Cell& cell)
{
    return ControlTestBed(cell).run();
}

}
