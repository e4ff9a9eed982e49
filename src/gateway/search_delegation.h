#pragma once

#include "base/clock.h"
#include "base/snapshot.h"
#include "forward/delegate_chooser.h"
#include "forward/forward_action.h"
#include "gateway/news_paths.h"
#include "observe/decision_log.h"
#include "observe/metrics.h"
#include "wire/asio_peer_network.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace lycheefield {

/// Where the parts that other instances were asked for come to, and where theirs are got.
/// Calls come on the relay's strand.
class SearchDelegationEvents {
public:
    virtual ~SearchDelegationEvents() = default;
    /// Another instance has answered.
    virtual void onDelegationAnswered(DelegationId, const ForwardAnswer&) = 0;
    /// It will not answer. mayHaveRun: it may have sent the request to servers.
    virtual void onDelegationFailed(DelegationId, bool mayHaveRun) = 0;
    /// It confirmed and is silent. True: it is not waited for any more.
    virtual bool onDelegationSilent(DelegationId) = 0;
    /// It wants to send these of its legs to a second server.
    virtual void onExtraAttemptsRequested(DelegationId, const std::vector<std::uint32_t>& positions) = 0;
    /// Another instance saw a server end while it ran that content.
    virtual void onCrashNews(Fingerprint, const ServerName&) = 0;
    /// Whether a part that another instance asks for can be run here.
    virtual bool canRun(const SearchCall&) const = 0;
    /// Another instance asks for parts. Precondition: canRun().
    virtual void runFor(const InstanceName& caller, const SearchCall&) = 0;
    /// It leaves second sends of a call to this instance.
    virtual void grantFor(const InstanceName& caller, std::uint64_t sequence) = 0;
    /// The other instance does not wait for them any more, or has gone itself.
    virtual void cancelFor(const InstanceName& caller, std::uint64_t sequence) = 0;
    virtual void cancelAllFor(const InstanceName& caller) = 0;
};

/// What a SearchDelegation needs from outside. All of it outlives the relay.
struct SearchDelegationParts {
    boost::asio::io_context& io;
    boost::asio::strand<boost::asio::io_context::executor_type>& strand;
    std::shared_ptr<const Clock> clock;
    SearchDelegationEvents& events;
    Metrics& metrics;
    DecisionLog& log;
    std::function<void(const StoreNews&)> onNews {}; ///< What another instance saw in the store.
};

/// Speaks to the other instances: asks them for parts of searches, takes their calls, and passes on
/// what is new in the store. A call that is not confirmed at once fails; one that is confirmed and then
/// silent is taken back when that helps. Called on the strand, but for the PeerHandler's calls, which
/// come on any thread.
class SearchDelegation final : public PeerHandler {
public:
    SearchDelegation(SearchDelegationParts, DelegateChooser&, const InstanceName& self, const ZoneName&);

    /// Opens the port for other instances.
    Result<Endpoint> listen(const Endpoint&);
    ProcessLife life() const { return m_life; }
    /// All instances, this one among them or not.
    void onPeers(const std::vector<Instance>&);

    /// Tells other instances what this one saw in the store.
    void share(const StoreNews&);
    std::uint32_t newsRank() const { return m_newsPaths.rank(); }
    /// Tells all instances that a server ended while it ran that content.
    void tell(const AnnounceContentCrash&);
    void ask(const DelegateShards&);
    /// Nobody waits for the parts any more.
    void end(DelegationId);
    /// The other instance may send late legs to a second server.
    void grant(DelegationId);
    /// Asks the other instance whether these legs of its call may be sent to a second server.
    void want(const InstanceName& caller, std::uint64_t sequence, std::vector<std::uint32_t> positions);
    /// Sends the answer to a call that was taken from another instance.
    void reply(const InstanceName& caller, std::uint64_t sequence, ForwardAnswer);

    void onPeerMessage(const Hello& from, PeerMessage) override;
    void onLinkLost(const InstanceName&) override;
    void onUndelivered(const InstanceName& to, PeerMessage) override;
    void onPeerGone(const InstanceName&) override;

private:
    /// A call that another instance has.
    struct Asked {
        InstanceName peer;
        std::string attemptId;
        TimePoint askedAt {};
        TimePoint answerBy = never;
        Duration silenceTimeout {}; ///< After its confirmation.
        TimePoint confirmedBy = never;
        bool isTaken = false;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    void onNews(const InstanceName& from, const StoreNews&);
    void receive(const InstanceName& from, PeerMessage&);
    void onNote(const InstanceName& from, const SearchNote&);
    void onResponse(const InstanceName& from, SearchReply&);
    void onCall(const InstanceName& from, const SearchCall&);
    void waitFor(DelegationId, Duration);
    void onOverdue(DelegationId);
    void onSilent(DelegationId);
    /// Waits for the call no more, and tells the other instance so if it may have begun.
    /// Precondition: the call is under way. Returns what was known of it.
    Asked giveUp(DelegationId, bool mayHaveRun);
    /// mayHaveRun: the other instance may have begun.
    void fail(DelegationId, std::string_view why, bool mayHaveRun);
    void failAll(const InstanceName& peer, std::string_view why);

    SearchDelegationParts m_parts;
    ProcessLife m_life;
    DelegateChooser& m_chooser;
    NewsPaths m_newsPaths;
    Snapshot<MembershipView> m_view;
    AsioPeerNetwork m_network;
    std::unordered_map<DelegationId, Asked> m_asked;
    Counter& m_askedCount;
    Counter& m_failedCount;
    Counter& m_takenCount;
};

}
