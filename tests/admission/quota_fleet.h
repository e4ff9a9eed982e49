#pragma once

#include "admission/quota_engine.h"
#include "base/random_source.h"

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
    Several, ///< All of the above at drawn times.
};
constexpr std::size_t quotaFaults = 10;

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
    /// Requests that were neither admitted nor refused, though their instance went on running.
    std::size_t unanswered() const { return m_unanswered.size(); }
    std::string describe() const;

private:
    struct Node {
        InstanceName name;
        std::size_t zone = 0;
        std::unique_ptr<QuotaEngine> engine; ///< Null while the process doesn't run.
        std::uint64_t life = 0;
        TimePoint pausedUntil {};
        TimePoint wakeAt = never;
        bool isCut = false;
        bool isLowered = false; ///< It has the lowered quotas.
    };
    struct TeamRecord {
        Team quota;
        Team laterQuota;
        std::vector<TimePoint> arrivals;
        std::vector<TimePoint> admissions;
    };
    using Event = std::function<void()>;

    void at(TimePoint, Event);
    /// Runs the event at the node once it isn't paused, unless its process has ended.
    void atNode(std::size_t node, TimePoint, Event);
    Duration randomDuration(Duration min, Duration max);
    bool chance(double probability) { return m_random.unit() < probability; }
    std::vector<Team> quotas(bool isLater) const;
    void start(std::size_t node, bool hadPredecessor);
    void end(std::size_t node);
    void list(std::size_t node, bool isFirst, bool hadPredecessor);
    void call(std::size_t node, const std::function<void(QuotaEngine&, QuotaActions&)>&);
    void execute(std::size_t node, const QuotaActions&);
    void send(std::size_t from, const InstanceName& to, const std::function<void(QuotaEngine&, const InstanceName& from, QuotaActions&)>&, const QuotaCall*);
    void request(std::size_t team);
    void inject(QuotaFault, TimePoint);
    void cut(TimePoint);
    void pause(TimePoint);
    void restart(std::size_t node, Duration down);
    void lower(TimePoint);
    std::size_t keeperOf(std::size_t team) const;
    bool isLost(std::size_t from, std::size_t to);
    double excess(const TeamRecord&) const;
    static std::size_t allowedOf(const TeamRecord&);

    QuotaFault m_fault;
    QuotaDemand m_demand;
    SeededRandom m_random;
    TimePoint m_now { std::chrono::seconds(1000) };
    std::multimap<TimePoint, Event> m_events;
    std::vector<Node> m_nodes;
    std::set<std::size_t> m_listed; ///< Nodes in the store's list.
    std::vector<TeamRecord> m_teams;
    std::size_t m_favourite = 0; ///< The instance to which most requests come.
    std::map<RequestNumber, std::pair<std::size_t, std::size_t>> m_unanswered; ///< Node and team.
    std::uint64_t m_lastRequest = 0;
    double m_lossProbability = 0;
    TimePoint m_loweredAt = never;
    TimePoint m_lowAppliedAt {}; ///< When the last instance got the lowered quotas.
    AdmissionSettings m_settings;
};

}
