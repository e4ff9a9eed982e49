#pragma once

#include "admission/quota_engine.h"
#include "base/random_source.h"
#include "gateway/instance_census.h"
#include "gateway/own_declaration.h"
#include "gateway/peer_presence.h"
#include "quota_store.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

namespace lycheefield {

/// What happens to a fleet beside its requests.
enum class QuotaFault : std::uint8_t {
    None,
    Losses, ///< Messages are lost or late.
    Cut, ///< Some instances exchange no messages with the others.
    Pause, ///< Processes are paused, some until the others have given them up.
    Restart, ///< Processes restart in turn.
    KeeperDies, ///< The keeper of a team ends for good.
    InstancesAdded, ///< Instances have different views for seconds.
    PowerLost, ///< All processes end at once and start again.
    QuotaLowered,
    ListsLate, ///< Lists of the instances fail, or arrive late.
    AddedRestart, ///< Instances are added and killed again once or several times.
    StoreRestored, ///< Instances are added, and the store comes back from an older copy.
    WritesLate, ///< Instances are added, and their writes to the store are executed seconds later.
    MessagesLate, ///< Instances are added, and messages arrive seconds late or twice.
    PlannedStops, ///< Processes are stopped in turn; some start again, others are gone.
    PartStarts, ///< All processes end at once; some are gone for good, some go on without messages, the others start again beside objects from long ago.
    Several, ///< All of the above at drawn times.
};
constexpr std::size_t quotaFaults = 17;

std::string_view toString(QuotaFault);

enum class QuotaDemand : std::uint8_t {
    Even,
    Uneven, ///< Most requests come to one instance.
    Hot, ///< One team asks for many times its usual.
    HotUneven,
};
constexpr std::size_t quotaDemands = 4;

std::string_view toString(QuotaDemand);

/// A fleet of quota engines with their messages and the store's list of instances, on a virtual clock.
class QuotaFleet {
public:
    QuotaFleet(QuotaFault, QuotaDemand, std::uint64_t seed);

    void run();

    /// The most by which any window of any team holds more requests than the rule allows; not positive: none does.
    double worstExcess() const;
    std::size_t admitted() const;
    /// What one token bucket for each team would have admitted of the same requests.
    std::size_t allowed() const;
    /// The smallest share of the allowed requests of a team that was admitted; two requests more or less aren't counted.
    double worstShare() const;
    /// After PartStarts, the share of what their quotas allow that was admitted, from some seconds after the start on; of the teams whose former keeper
    /// has started again, or of the others. Two requests more or less are not counted.
    double shareAfterStart(bool hasFormerKeeper) const;
    /// Requests that were neither admitted nor refused, though their instance went on running.
    std::size_t unanswered() const { return m_unanswered.size(); }
    std::string describe() const;
    /// The most processes that granted in one role for one team at the same moment.
    std::size_t mostHolders() const { return m_mostHolders; }

private:
    struct Node {
        Node(InstanceName nodeName, std::size_t nodeZone)
            : name(std::move(nodeName))
            , zone(nodeZone)
            , presence(name)
        {
        }

        InstanceName name;
        std::size_t zone = 0;
        std::unique_ptr<QuotaEngine> engine; ///< Null while the process doesn't run.
        std::uint64_t life = 0;
        TimePoint pausedUntil {};
        TimePoint wakeAt = never;
        TimePoint presenceWakeAt = never;
        bool isCut = false;
        bool isLowered = false; ///< It has the lowered quotas.
        bool isWritten = false; ///< The store has acknowledged its object.
        bool isWriting = false;
        bool writesAgain = false;
        std::uint64_t version = 0; ///< Of its object, as far as the process knows.
        std::uint64_t refreshes = 0;
        OwnDeclaration declaration;
        InstanceCensus census;
        PeerPresence presence;
        bool isListing = false; ///< A list that the engine asked for is in flight.
        bool listsAgain = false;
        bool isGone = false; ///< It is not started again.
        TimePoint listedUntil {};
        StoreRevision listed; ///< Of the last list.
    };
    struct TeamRecord {
        Team quota;
        Team laterQuota;
        std::vector<TimePoint> arrivals;
        std::vector<TimePoint> admissions;
        std::vector<TimePoint> arrivalsAfterStart; ///< At instances that exchange messages.
        double admittedAfterStart = 0;
    };
    using Event = std::function<void()>;

    void at(TimePoint, Event);
    /// Runs the event at the node once it isn't paused, unless its process has ended.
    void atNode(std::size_t node, TimePoint, Event);
    Duration randomDuration(Duration min, Duration max);
    bool chance(double probability) { return m_random.unit() < probability; }
    std::vector<Team> quotas(bool isLater) const;
    void start(std::size_t node);
    void end(std::size_t node);
    /// Lists the instances now and then periodically.
    void count(std::size_t node, std::size_t n);
    void list(std::size_t node, bool isLatest, bool isExtra);
    void apply(std::size_t node, const StoredNodes&, bool isLatest, TimePoint askedAt);
    /// Writes the object of the node, later if a write is in flight.
    void write(std::size_t node);
    void onWritten(std::size_t node, const RoleDeclaration&, TimePoint sentAt, bool isDone);
    /// Probes instances that nothing shows to run.
    void probePeers(std::size_t node);
    void add(std::size_t nodes);
    /// Notes how many processes grant in each role.
    void checkHolders();
    void call(std::size_t node, const std::function<void(QuotaEngine&, QuotaActions&)>&);
    void execute(std::size_t node, const QuotaActions&);
    void send(std::size_t from, const InstanceName& to, const std::function<void(QuotaEngine&, const InstanceName& from, QuotaActions&)>&, const QuotaCall*);
    void request(std::size_t team);
    void inject(QuotaFault, TimePoint);
    void addAndRestart();
    void restoreStore(TimePoint);
    void stopInTurn();
    void startInPart(TimePoint);
    /// Ends a process that has resigned, for good.
    void endPlanned(std::size_t node);
    void cut(TimePoint);
    void pause(TimePoint);
    void restart(std::size_t node, Duration down);
    void lower(TimePoint);
    std::size_t keeperOf(std::size_t team) const;
    bool isLost(std::size_t from, std::size_t to);
    double excess(const TeamRecord&) const;
    static std::size_t allowedOf(const TeamRecord&);
    /// What a token bucket that holds the level at that time admits of the arrivals.
    static std::size_t allowedOf(const std::vector<TimePoint>& arrivals, const Team& quota, double level, TimePoint from);

    QuotaFault m_fault;
    QuotaDemand m_demand;
    SeededRandom m_random;
    TimePoint m_now { std::chrono::seconds(1000) };
    std::multimap<TimePoint, Event> m_events;
    std::vector<Node> m_nodes;
    Duration m_requestTime;
    QuotaStore m_store;
    std::size_t m_mostHolders = 0;
    double m_listFailures = 0; ///< Probability; half of the others are late then.
    Duration m_writeDelay {}; ///< Most.
    double m_lateMessages = 0; ///< Probability; as many arrive twice.
    std::vector<TeamRecord> m_teams;
    std::size_t m_favourite = 0; ///< The instance to which most requests come.
    std::map<RequestNumber, std::pair<std::size_t, std::size_t>> m_unanswered; ///< Node and team.
    std::uint64_t m_lastRequest = 0;
    double m_lossProbability = 0;
    TimePoint m_servedFrom = never; ///< After PartStarts.
    std::set<std::size_t> m_lostKeepers; ///< Teams whose keeper hasn't started again.
    TimePoint m_loweredAt = never;
    TimePoint m_lowAppliedAt {}; ///< When the last instance got the lowered quotas.
    AdmissionSettings m_settings;
};

}
