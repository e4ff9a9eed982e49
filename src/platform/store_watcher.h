#pragma once

#include "base/random_source.h"
#include "platform/backoff.h"
#include "platform/object_store.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <memory>
#include <string>

namespace lycheefield {

/// Follows all objects below a prefix: lists them once, then watches from the revision it reached.
///
/// After an error it goes on from the same revision, so no change is skipped, however long the outage
/// was. When the store has dropped its history it lists again. Keeps itself alive until stop. Thread safe.
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher> {
public:
    /// Runs on the executor, one call at a time: with each list, even when it is empty, with the end of
    /// each watch, whether anything changed or not, and after an error with its status.
    using Handler = std::function<void(const WatchBatch&)>;

    StoreWatcher(const boost::asio::any_io_executor&, std::shared_ptr<ObjectStore>, std::string prefix, Handler, Backoff);

    void start();
    /// The handler may run once more if it runs right now.
    void stop();

private:
    void ask();
    void askAfter(Duration);
    void onBatch(const WatchBatch&);

    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<ObjectStore> m_store;
    std::string m_prefix;
    Handler m_handler;
    Backoff m_backoff;
    bool m_isListed = false;
    bool m_isStopped = false;
    std::uint64_t m_revision = 0;
};

}
