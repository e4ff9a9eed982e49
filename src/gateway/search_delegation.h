#pragma once

#include "base/clock.h"
#include "base/snapshot.h"
#include "forward/delegate_chooser.h"
#include "forward/forward_action.h"
#include "gateway/news_distribution.h"
#include "observe/decision_log.h"
#include "observe/metrics.h"
#include "wire/asio_peer_network.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace lycheefield {

/// Receives the outcome of delegations to other instances, and runs the legs that other instances
/// delegate to this one. Called on the strand of the SearchDelegation.
class SearchDelegationEvents {
public:
    virtual ~SearchDelegationEvents() = default;
    /// The delegate has answered.
    virtual void onDelegationAnswered(DelegationId, const ForwardAnswer&) = 0;
    /// The delegation failed; an answer that still arrives is ignored. mayHaveRun: the delegate may have sent
    /// the request to servers.
    virtual void onDelegationFailed(DelegationId, bool mayHaveRun) = 0;
    /// The delegate confirmed the delegation and has been silent since. Returns whether the legs were taken
    /// back from the delegate; called again periodically while they are not.
    virtual bool onDelegationSilent(DelegationId) = 0;
    /// The delegate asks for extra attempts for the legs at these positions in the delegation's shards.
    virtual void onExtraAttemptsRequested(DelegationId, const std::vector<std::uint32_t>& positions) = 0;
    /// Another instance announced what it knows about a content that crashed servers.
    virtual void onCrashAnnounced(const CrashNews&) = 0;
    /// Whether this instance can run the delegated legs.
    virtual bool canRun(const SearchCall&) const = 0;
    /// Runs legs that the delegator delegated. Precondition: canRun().
    virtual void runDelegated(const InstanceName& delegator, const SearchCall&) = 0;
    /// The delegator allows this instance extra attempts for the delegation. sequence: as in its SearchCall.
    virtual void onExtraAttemptsGranted(const InstanceName& delegator, std::uint64_t sequence) = 0;
    /// The delegator no longer waits for this delegation.
    virtual void cancelDelegated(const InstanceName& delegator, std::uint64_t sequence) = 0;
    /// The delegator's connection to this instance has closed, or a newer one has replaced it.
    virtual void cancelAllDelegated(const InstanceName& delegator) = 0;
};

/// Receives what other instances say of the platform's store. Called on the strand of the SearchDelegation.
class StoreNewsEvents {
public:
    virtual ~StoreNewsEvents() = default;
    /// Another instance announced changes, or answered a request for its state.
    virtual void onNews(const InstanceName& from, const StoreNews&) = 0;
    /// Another instance asks for the state that this one knows.
    virtual void onStateRequested(const InstanceName&, const StoreStateRequest&) = 0;
    /// The request for another instance's state could not be delivered.
    virtual void onStateRequestFailed(const StoreStateRequest&) = 0;
    /// This instance has quarantined a content, which the store should keep.
    virtual void onQuarantined(const CrashNews&) = 0;
};

/// Receives other instances' messages about quotas. Called on the strand of the SearchDelegation.
class QuotaMessageEvents {
public:
    virtual ~QuotaMessageEvents() = default;
    virtual void onQuotaCall(const InstanceName& from, const QuotaCall&) = 0;
    virtual void onQuotaReply(const InstanceName& from, const QuotaReply&) = 0;
    /// A call of this instance was not delivered.
    virtual void onQuotaCallUndelivered(std::uint64_t sequence, UndeliveredReason) = 0;
    virtual void onRoleClaim(const InstanceName& from, const RoleClaim&) = 0;
    virtual void onRoleClaimReply(const InstanceName& from, const RoleClaimReply&) = 0;
    virtual void onRoleResignation(const InstanceName& from, const RoleResignation&) = 0;
};

/// The dependencies of a SearchDelegation. All of them outlive the SearchDelegation.
struct SearchDelegationParts {
    boost::asio::io_context& io;
    boost::asio::strand<boost::asio::io_context::executor_type>& strand;
    std::shared_ptr<const Clock> clock;
    SearchDelegationEvents& events;
    Metrics& metrics;
    DecisionLog& log;
    StoreNewsEvents& storeNews;
};

/// Exchanges messages with the other instances: delegates legs of searches to them, accepts their
/// delegations, and distributes news of the store.
///
/// A delegation that is not confirmed within the chooser's time-out fails. If the delegate confirms and is
/// then silent, SearchDelegationEvents::onDelegationSilent() decides whether to take the legs back.
/// The chooser outlives the SearchDelegation. While the io_context runs, all functions are called on the
/// strand, except for the PeerHandler functions, which are called on any thread.
class SearchDelegation final : public PeerHandler {
public:
    SearchDelegation(SearchDelegationParts, DelegateChooser&, const InstanceName& self, const ZoneName&);

    /// Opens the listening port for other instances and returns its endpoint.
    Result<Endpoint> listen(const Endpoint&);
    ProcessLife life() const { return m_life; }
    /// Sets the instances of the fleet, with or without this one. Those that are presumed gone are assigned no work, and can be sent messages.
    void onPeers(const std::vector<Instance>&, const std::set<InstanceName>& gone);

    /// Sets who receives messages about quotas; without it they are ignored. Preconditions: called before listen(); the events outlive the SearchDelegation.
    void setQuotaEvents(QuotaMessageEvents& events) { m_quotaEvents = &events; }
    using PeerHeardHandler = std::function<void(const InstanceName&)>;
    /// Sets who learns from whom messages come, before what they say. Precondition: called before listen().
    void setPeerHeardHandler(PeerHeardHandler handler) { m_peerHeardHandler = std::move(handler); }
    /// Sends a message of another part of the gateway to the instance, on a connection that this one opens.
    void send(const InstanceName& to, PeerMessage message) { m_network.send(to, std::move(message)); }
    /// Sends it on any connection with the instance, also if the instance is not among the peers.
    void sendOnAnyConnection(const InstanceName& to, PeerMessage message) { m_network.sendOnAnyConnection(to, std::move(message)); }
    /// Whether the instance is among the peers, so that this one can open a connection to it.
    bool isPeer(const InstanceName& name) const { return m_view.read()->find(name) != nullptr; }

    /// Sends other instances what this one read from the store.
    void announceNews(const StoreNews&);
    /// Asks an instance of this zone for the state of the store that it knows. Returns false when there is none to ask.
    bool requestStoreState(const std::string& prefix);
    /// Answers another instance's request.
    void sendStoreState(const InstanceName&, const StoreNews&);
    std::uint32_t newsRank() const { return m_newsDistribution.rank(); }
    /// Announces to all instances what is known about a content that crashed servers.
    void announceCrash(const CrashNews&);
    /// Repeats announcements to a few instances, so that all learn them that were cut off, frozen or not running at the first time.
    void shareCrashes(const std::vector<CrashNews>&);
    /// Tells it to the instance that delegated a request with the content, on the connection that also carries the answer.
    void reportCrash(const InstanceName& delegator, const CrashNews&);
    void delegate(const DelegateShards&);
    /// Cancels a delegation whose answer is no longer needed.
    void cancel(DelegationId);
    /// Allows the delegate extra attempts for the legs that it named.
    void grantExtraAttempts(DelegationId);
    /// Asks the delegator to allow extra attempts for these legs of its delegation.
    void requestExtraAttempts(const InstanceName& delegator, std::uint64_t sequence, std::vector<std::uint32_t> positions);
    /// Sends the delegator the answer to its delegation.
    void sendAnswer(const InstanceName& delegator, std::uint64_t sequence, ForwardAnswer);

    void onPeerMessage(const Hello& from, PeerMessage) override;
    void onLinkLost(const InstanceName&) override;
    void onUndelivered(const InstanceName& to, PeerMessage, UndeliveredReason) override;
    void onPeerDisconnected(const InstanceName&) override;

private:
    /// A delegation in flight.
    struct Delegation {
        InstanceName peer;
        std::string attemptId;
        TimePoint sentAt {};
        TimePoint answerBy = never;
        Duration silenceTimeout {}; ///< Counted from the confirmation.
        TimePoint confirmationDeadline = never;
        bool isConfirmed = false;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    /// Passes news to the instances that hear it from this one, and to the follower.
    void onNews(const InstanceName& from, const StoreNews&);
    void receive(const InstanceName& from, PeerMessage&);
    void receiveQuotaMessage(const InstanceName& from, const PeerMessage&);
    void onNote(const InstanceName& from, const SearchNote&);
    void onResponse(const InstanceName& from, SearchReply&);
    void onCall(const InstanceName& from, const SearchCall&);
    void startTimer(DelegationId, Duration);
    void onTimeout(DelegationId);
    void onSilent(DelegationId);
    /// Removes the delegation, and cancels it at the delegate if the delegate may have begun.
    /// Precondition: the delegation is in flight. Returns the removed delegation.
    Delegation abandon(DelegationId, bool mayHaveRun);
    /// Abandons the delegation and reports its failure. mayHaveRun: the delegate may have begun.
    void fail(DelegationId, std::string_view reason, bool mayHaveRun);
    void failAll(const InstanceName& peer, std::string_view reason);

    SearchDelegationParts m_parts;
    ProcessLife m_life;
    DelegateChooser& m_chooser;
    QuotaMessageEvents* m_quotaEvents = nullptr;
    PeerHeardHandler m_peerHeardHandler;
    NewsDistribution m_newsDistribution;
    Snapshot<MembershipView> m_view;
    AsioPeerNetwork m_network;
    std::unordered_map<DelegationId, Delegation> m_delegations;
    Counter& m_sentCount;
    Counter& m_failedCount;
    Counter& m_acceptedCount;
};

}
