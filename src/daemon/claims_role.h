#pragma once

#include "daemon/claim_driver.h"
#include "daemon/claim_service.h"
#include "daemon/shared_tables.h"
#include "wire/claim_message.h"
#include "wire/peer_network.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace lycheefield {

/// The instance that batches the claims of a partition, by rendezvous hashing over the instances that
/// can own; empty when there is none. Instances whose views differ may disagree: it only costs conflicts.
InstanceName claimOwner(std::uint32_t partition, const MembershipView&);

/// What a ClaimsRole works with. All outlive it.
struct ClaimsContext {
    boost::asio::io_context& io;
    std::shared_ptr<const Clock> clock;
    PeerNetwork& network;
    const Snapshot<MembershipView>& view;
};

struct ClaimForwardTimes {
    /// An owner decides a claim by its deadline, which it learns with the call: a crossing later.
    Duration decisionMargin = std::chrono::seconds(2);
    /// A paused owner may read the call long after that; its grant is still given back for so long.
    Duration lateGrantMemory = std::chrono::minutes(10);
    /// An outcome that its owner did not confirm for this long is written here.
    Duration settleTimeout = std::chrono::seconds(1);
};

struct ClaimForwardCounters {
    std::uint64_t forwarded = 0; ///< Claims sent to another instance.
    std::uint64_t undelivered = 0; ///< No byte of them left; claimed here instead.
    std::uint64_t unanswered = 0; ///< Refused: the link broke or the deadline passed.
    std::uint64_t lateGrants = 0; ///< Granted after they were refused, and released.
};

/// Grants claims: those of partitions that this instance owns through its own engine, the others by
/// asking the partition's owner, whose engine batches them.
///
/// Who owns a partition is only a matter of speed. A claim whose call to the owner may have arrived is
/// never claimed by another way: it is refused, and once its owner must have decided, its key
/// is released. An owner that was paused may still claim it after that: the claim is remembered for a
/// time, a late grant given back at once, and the key released a second time. Thread safe.
class ClaimsRole final : public ClaimService, public std::enable_shared_from_this<ClaimsRole> {
public:
    ClaimsRole(const ClaimsContext&, const ClaimSettings&, InstanceName self, std::shared_ptr<ClaimDriver>, const ClaimForwardTimes& = {});

    void claim(const ClaimRequest&, Handler) override;
    void recordOutcome(const RequestId&, RunState, const std::string& answer) override;
    void release(const RequestId&) override;
    std::size_t pending() const override { return m_pending.load(std::memory_order_relaxed) + m_driver->pending(); }

    /// A peer takes this instance for the owner.
    void onCall(const InstanceName& from, ClaimCall);
    void onResponse(const InstanceName& from, ClaimReply);
    void onLinkLost(const InstanceName&);
    /// No byte of the call left.
    void onUndelivered(const ClaimCall&);

    ClaimCounters counters() const { return m_driver->counters(); }
    ClaimForwardCounters forwardCounters() const;

private:
    /// A claim that its owner was asked for.
    struct ForwardedClaim {
        ClaimRequest request;
        Handler handler; ///< Empty once it was refused here.
        InstanceName owner;
        TimePoint until; ///< Its deadline; once refused, when its owner has surely decided.
    };
    /// A granted request.
    struct GrantedClaim {
        ClaimRequest request;
        InstanceName owner;
    };
    /// An outcome or release that its owner did not confirm yet.
    struct UnsettledClaim {
        ClaimCall call;
        InstanceName owner;
        TimePoint until;
    };

    void claimLocally(const ClaimRequest&, Handler);
    void forward(const ClaimRequest&, Handler, const InstanceName& owner);
    void refuse(ForwardedClaim&);
    void settle(const RequestId&, RunState, const std::string& answer);
    void settleLocally(const ClaimCall&);
    void releaseLocally(const ClaimRequest&);
    void onDecided(const InstanceName& owner, const ClaimDecided&);
    void releaseLateGrant(const ClaimRequest&, const InstanceName& owner);
    void rememberReleased(ForwardedClaim);
    void forgetReleased(TimePoint);
    void checkDeadlines();
    void update();

    ClaimsContext m_context;
    ClaimSettings m_settings;
    InstanceName m_self;
    ClaimForwardTimes m_times;
    std::shared_ptr<ClaimDriver> m_driver;
    Strand m_strand;
    EngineTimer m_timer;
    std::unordered_map<RequestId, ForwardedClaim> m_forwarded;
    std::unordered_map<RequestId, ForwardedClaim> m_released; ///< Refused and released; their owners may still claim them.
    std::deque<RequestId> m_releasedInOrder; ///< Those of m_released, and some that left it.
    std::unordered_map<RequestId, GrantedClaim> m_granted;
    std::unordered_map<RequestId, UnsettledClaim> m_unsettled;
    std::atomic<std::size_t> m_pending { 0 };
    mutable std::mutex m_countersMutex;
    ClaimForwardCounters m_counters;
};

}
