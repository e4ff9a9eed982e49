#pragma once

#include "base/random_source.h"
#include "membership/membership_engine.h"
#include "rules/rule_replicator.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheefield {

/// Faults and delays of the network between the instances of a MembershipCluster.
struct ClusterNetwork {
    Share loss { 0 }; ///< Share of messages that are lost.
    Duration minDelay = 1ms;
    Duration maxDelay = 6ms;
    std::set<std::pair<InstanceName, InstanceName>> cuts; ///< Pairs of sender and receiver between which no message passes.
};

/// Bytes of one message on the wire: the frame with IP and TCP headers.
using MessageSize = std::function<std::size_t(const GossipMessage&)>;
using DeltaSize = std::function<std::size_t(const RuleDelta&)>;

/// Many membership engines and rule replicators in one process, in virtual time, connected by a network
/// that loses and delays messages and by a store that the watchers read.
class MembershipCluster {
public:
    struct Node {
        Instance self;
        std::unique_ptr<SeededRandom> random;
        std::unique_ptr<MembershipEngine> engine;
        RuleReplicator replicator;
        bool stopped = false; ///< The instance has ended: messages to it are lost.
        bool paused = false; ///< The instance is suspended: its messages and timers wait.
        std::vector<RuleRevision> revisions; ///< Each revision applied, in order.
        std::uint64_t bytes = 0; ///< Total sent and received.
        std::uint64_t epoch = 0; ///< Distinguishes the timers of this life from those of an earlier life.
    };

    MembershipCluster(std::uint64_t seed, MembershipSettings);

    void setSizes(MessageSize message, DeltaSize delta);
    ClusterNetwork& network() { return m_network; }
    /// Starts an instance, or restarts it with a new life; the instance reads the instance list once.
    Node& start(const std::string& name, const std::string& zone);
    /// Starts instances i0, i1, … spread over the zones, each with all others in its list.
    void startMany(std::size_t n, std::size_t zones);
    void stop(const std::string& name);
    void pause(const std::string& name);
    void resume(const std::string& name);
    /// Stores rules; the instances that watch the store receive the rules after the delay.
    void storeRules(const StoredRules&, Duration delay);
    /// Runs `action` on one instance and executes the resulting actions.
    void act(const std::string& name, const std::function<void(MembershipEngine&, MembershipActions&)>& action);
    void runFor(Duration);

    Node& node(const std::string& name) { return m_nodes.at(InstanceName(name)); }
    std::map<InstanceName, Node>& nodes() { return m_nodes; }
    TimePoint now() const { return m_now; }
    /// Number of running instances that apply at least this revision.
    std::size_t countWithRevision(RuleRevision) const;
    /// Number of running instances whose view shows `other` in this health; an instance missing from the view
    /// counts as Gone.
    std::size_t countSeeing(const std::string& other, InstanceHealth) const;
    std::size_t running() const;
    /// Messages sent since the start.
    std::uint64_t messages() const { return m_messages; }

private:
    struct Event {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> run;
        bool operator<(const Event& other) const { return std::tie(at, sequence) > std::tie(other.at, other.sequence); }
    };

    void schedule(TimePoint, std::function<void()>);
    void wake(const InstanceName&, std::uint64_t epoch);
    void deliver(const InstanceName& from, const InstanceName& to, std::size_t bytes, std::function<void(Node&)>);
    void receive(Node&, std::size_t bytes, const std::function<void(Node&)>&);
    void execute(Node&, MembershipActions);
    void execute(Node&, RuleActions);
    std::vector<Instance> listed() const;

    ClusterNetwork m_network;
    MembershipSettings m_settings;
    SeededRandom m_random;
    MessageSize m_messageSize;
    DeltaSize m_deltaSize;
    std::map<InstanceName, Node> m_nodes;
    std::map<InstanceName, std::vector<std::function<void()>>> m_deferred; ///< Work of paused instances, run on resume().
    std::priority_queue<Event> m_events;
    TimePoint m_now { 1s };
    std::uint64_t m_sequence = 0;
    std::uint64_t m_messages = 0;
};

}
