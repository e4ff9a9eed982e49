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

/// Returns the instance that batches the claims of a partition, by rendezvous hashing over the instances
/// that can own; empty when there is none. Instances with different views may choose different owners, which
/// costs only conflicting writes.
InstanceName claimOwner(std::uint32_t partition, const MembershipView&);

/// Dependencies of a ClaimsRole, which outlive it.
struct ClaimsContext {
    boost::asio::io_context& io;
    std::shared_ptr<const Clock> clock;
    PeerNetwork& network;
    const Snapshot<MembershipView>& view;
};

struct ClaimForwardTimes {
    /// Time after a claim's deadline by which its owner has decided. The deadline travels as the time left, so the
    /// owner's deadline is later by the network delay.
    Duration decisionMargin = std::chrono::seconds(2);
    /// How long a refused claim is remembered: an owner that was paused may read the call this late, and its grant
    /// is released then.
    Duration lateGrantMemory = std::chrono::minutes(10);
    /// Time for the owner to confirm an outcome; after it this instance writes the outcome itself.
    Duration settleTimeout = std::chrono::seconds(1);
};

struct ClaimForwardCounters {
    std::uint64_t forwarded = 0; ///< Claims sent to their owner.
    std::uint64_t undelivered = 0; ///< Claims of which no byte was sent; decided by this instance's own engine.
    std::uint64_t unanswered = 0; ///< Claims refused because the link broke or the deadline passed.
    std::uint64_t lateGrants = 0; ///< Claims that their owner granted after the refusal; released.
};

/// Grants claims: for partitions that this instance owns through its own engine, for other partitions by
/// forwarding the claim to the partition's owner, whose engine batches claims.
///
/// Ownership of a partition affects speed only, not correctness. A claim whose call may have reached the
/// owner is never claimed in another way: the role refuses the claim, and releases the key once the owner must
/// have decided. An owner that was paused may still claim the key after the release. Therefore the role
/// remembers the refused claim for a time, releases a late grant at once, and releases the key a second time
/// before the claim is forgotten. Thread safe.
class ClaimsRole final : public ClaimService, public std::enable_shared_from_this<ClaimsRole> {
public:
    ClaimsRole(const ClaimsContext&, const ClaimSettings&, InstanceName self, std::shared_ptr<ClaimDriver>, const ClaimForwardTimes& = {});

    void claim(const ClaimRequest&, Handler) override;
    void recordOutcome(const RequestId&, RunState, const std::string& answer) override;
    void release(const RequestId&) override;
    std::size_t pending() const override { return m_pending.load(std::memory_order_relaxed) + m_driver->pending(); }

    /// Handles the call of a peer whose view says that this instance is the owner.
    void onCall(const InstanceName& from, ClaimCall);
    void onResponse(const InstanceName& from, ClaimReply);
    void onLinkLost(const InstanceName&);
    /// Handles a call of which no byte was sent.
    void onUndelivered(const ClaimCall&);

    ClaimCounters counters() const { return m_driver->counters(); }
    ClaimForwardCounters forwardCounters() const;

private:
    /// A claim that was forwarded to its owner.
    struct ForwardedClaim {
        ClaimRequest request;
        Handler handler; ///< Empty once this instance refused the claim.
        InstanceName owner;
        /// The claim's deadline; after the refusal, the time by which the owner has decided; after the release, the
        /// time at which the claim is forgotten.
        TimePoint dueAt;
    };
    /// A granted claim whose request has not ended.
    struct GrantedClaim {
        ClaimRequest request;
        InstanceName owner;
    };
    /// An outcome or release that the owner has not confirmed yet.
    struct UnsettledClaim {
        ClaimCall call;
        InstanceName owner;
        TimePoint dueAt; ///< Time at which this instance writes the outcome itself.
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
    std::unordered_map<RequestId, ForwardedClaim> m_released; ///< Refused and released claims that their owners may still grant.
    std::deque<RequestId> m_releasedInOrder; ///< Ids in the order of release; includes ids that are no longer in m_released.
    std::unordered_map<RequestId, GrantedClaim> m_granted;
    std::unordered_map<RequestId, UnsettledClaim> m_unsettled;
    std::atomic<std::size_t> m_pending { 0 };
    mutable std::mutex m_countersMutex;
    ClaimForwardCounters m_counters;
};

}
