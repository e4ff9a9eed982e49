#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "platform/backoff.h"
#include "platform/object_store.h"
#include "platform/watch_turn.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <memory>
#include <string>

namespace lycheefield {

/// Follows all objects below a prefix: lists them once, then watches from the revision it reached.
///
/// After an error it goes on from the same revision, so no change is skipped, however long the outage
/// was. When the store has dropped its history it lists again. Another instance that follows the same
/// prefix may tell what it saw; then the store is asked only when too little was heard. Keeps itself
/// alive until stop. Thread safe.
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher> {
public:
    /// Runs on the executor, one call at a time: with each list, even when it is empty, with the end of
    /// each watch, whether anything changed or not, and after an error with its status.
    using Handler = std::function<void(const WatchBatch&)>;

    StoreWatcher(const boost::asio::any_io_executor&, std::shared_ptr<ObjectStore>, std::string prefix, Handler, Backoff);

    /// Told after each call that succeeded, when the batch continues an earlier one: whoever has seen
    /// all up to fromRevision has seen all there was at provenAt.
    using SeenHandler = std::function<void(const WatchBatch&, std::uint64_t fromRevision, TimePoint provenAt)>;

    /// Precondition: not started yet.
    void onSeen(SeenHandler handler) { m_onSeen = std::move(handler); }
    /// Whether the store is watched without a pause, as it is at first, or only asked when nothing was heard.
    void setTurn(const WatchTurn&);
    /// What another instance saw. Without continuity to what is known here it is left out.
    void offer(const WatchBatch&, std::uint64_t fromRevision, TimePoint provenAt);

    void start();
    /// The handler may run once more if it runs right now.
    void stop();

private:
    void ask();
    void askAfter(Duration);
    void onBatch(const WatchBatch&);
    void onOffer(const WatchBatch&, std::uint64_t fromRevision, TimePoint provenAt);
    /// When the store should be asked; in the past: now.
    TimePoint askAt() const;
    /// As of when an answer without changes proves that everything was seen.
    TimePoint provenByNothing(TimePoint now) const;

    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<ObjectStore> m_store;
    std::string m_prefix;
    Handler m_handler;
    Backoff m_backoff;
    bool m_isListed = false;
    bool m_isStopped = false;
    std::uint64_t m_revision = 0;
    SeenHandler m_onSeen;
    WatchTurn m_turn;
    TimePoint m_askedAt {};
    TimePoint m_provenAt {};
    Duration m_askedWait {}; ///< Of the watch under way.
    bool m_isAsking = false;
    bool m_isBehind = false; ///< There may be more than what was seen: an answer need not hold all changes, or news were missed.
    BootClock m_clock; ///< Nothing that was heard before a suspension proves anything.
};

}
