#pragma once

#include "http/http_server.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lycheefield::standin {

/// A stand-in for the users' object store that implements its published protocol: paged lists, watches,
/// conditional writes, compacted history, outages and a return from an older copy. Not thread safe: use only on the io_context's thread.
class PublishedStoreServer {
public:
    struct Faults {
        bool isBusy = false; ///< Responds 503 to every request.
        bool isSilent = false; ///< Sends no response to any request.
        std::string rubbish {}; ///< The body of every response, if not empty.
        std::size_t pageSize = 2; ///< Objects per page of a list.
    };
    /// Returns the spec that a reader gets in place of the object's own.
    using Rewrite = std::function<std::string(const std::string& kind, const std::string& name, const std::string& spec)>;

    explicit PublishedStoreServer(boost::asio::io_context&);

    Result<Endpoint> listen();
    /// Listens on a further endpoint, for one reader: each object that is read through it has the rewritten spec.
    Result<Endpoint> listenFor(Rewrite);
    void put(const std::string& kind, const std::string& name, const std::string& spec);
    void remove(const std::string& kind, const std::string& name);
    /// Drops the change history: watches from an earlier revision get 410.
    void forgetHistory();
    /// Keeps a copy of the objects, the history and the revision for restoreCopy().
    void saveCopy() { m_copy = m_state; }
    /// Comes back from the saved copy, in the next epoch: what was written since is gone, its revisions are given out again, and every
    /// connection is closed, waiting watches without a response. Endpoints stay the same and listen again within the next turns of
    /// the io_context. The copy stays saved. Without one the store comes back empty.
    void restoreCopy();
    void setFaults(const Faults& faults) { m_faults = faults; }
    /// Whether responses name the epoch, as they do by default.
    void setNamesEpoch(bool namesEpoch) { m_namesEpoch = namesEpoch; }
    std::size_t calls() const { return m_calls; }
    std::uint64_t revision() const { return m_state.revision; }
    std::uint64_t epoch() const { return m_epoch; }
    bool contains(const std::string& kind, const std::string& name) const;

private:
    struct Object {
        std::string spec;
        std::uint64_t revision = 0;
    };
    struct Event {
        std::string kind;
        std::string name;
        Object object;
        bool isDeleted = false;
    };
    struct State {
        std::map<std::string, std::map<std::string, Object>> objects;
        std::vector<Event> events;
        std::uint64_t revision = 1;
        std::uint64_t historyStart = 0; ///< A watch from an earlier revision gets 410.
    };
    /// A listening endpoint and what its readers get.
    struct Listener final : HttpHandler {
        Listener(PublishedStoreServer& owner, Rewrite change)
            : store(owner)
            , rewrite(std::move(change))
        {
        }
        void handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override { store.handle(*this, request, std::move(exchange)); }

        PublishedStoreServer& store;
        Rewrite rewrite;
        Endpoint endpoint { "127.0.0.1", 0 };
        std::unique_ptr<HttpServer> server;
    };
    struct Watch {
        const Listener* listener = nullptr;
        std::string kind;
        std::uint64_t after = 0;
        std::shared_ptr<HttpExchange> exchange;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    Result<Endpoint> open(Listener&);
    void reopen(Listener&);
    void handle(const Listener&, const HttpRequest&, std::shared_ptr<HttpExchange>);
    void respond(HttpExchange&, HttpResponse) const;
    HttpResponse list(const Listener&, const std::string& kind, const std::string& after) const;
    HttpResponse read(const Listener&, const std::string& kind, const std::string& name) const;
    HttpResponse write(const Listener&, const HttpRequest&, const std::string& kind);
    HttpResponse handleRemoval(const Listener&, const std::string& kind, const std::string& name, const std::string& revision);
    void watch(const Listener&, const std::string& kind, std::uint64_t after, std::int64_t waitMs, std::shared_ptr<HttpExchange>);
    HttpResponse eventsAfter(const Listener&, const std::string& kind, std::uint64_t after) const;
    bool hasEvents(const std::string& kind, std::uint64_t after) const;
    void recordChange(Event);

    boost::asio::io_context& m_io;
    State m_state;
    State m_copy;
    std::uint64_t m_epoch = 1;
    bool m_namesEpoch = true;
    std::vector<Watch> m_watches;
    Faults m_faults;
    std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
    std::size_t m_calls = 0;
    std::vector<std::unique_ptr<Listener>> m_listeners;
};

}
