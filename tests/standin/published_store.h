#pragma once

#include "http/http_server.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lycheefield::standin {

/// A stand-in for the users' object store that implements its published protocol: paged lists, watches,
/// conditional writes, compacted history and outages. Not thread safe: use only on the io_context's thread.
class PublishedStoreServer final : public HttpHandler {
public:
    struct Faults {
        bool isBusy = false; ///< Responds 503 to every request.
        bool isSilent = false; ///< Sends no response to any request.
        std::string rubbish {}; ///< The body of every response, if not empty.
        std::size_t pageSize = 2; ///< Objects per page of a list.
    };

    explicit PublishedStoreServer(boost::asio::io_context&);

    Result<Endpoint> listen();
    void put(const std::string& kind, const std::string& name, const std::string& spec);
    void remove(const std::string& kind, const std::string& name);
    /// Drops the change history: watches from an earlier revision get 410.
    void forgetHistory();
    void setFaults(const Faults& faults) { m_faults = faults; }
    std::size_t calls() const { return m_calls; }
    bool contains(const std::string& kind, const std::string& name) const;

    void handle(HttpRequest, std::shared_ptr<HttpExchange>) override;

private:
    struct Object {
        std::string spec;
        std::uint64_t revision = 0;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        std::string body;
    };
    struct Watch {
        std::string kind;
        std::uint64_t after = 0;
        std::shared_ptr<HttpExchange> exchange;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    HttpResponse list(const std::string& kind, const std::string& after) const;
    HttpResponse read(const std::string& kind, const std::string& name) const;
    HttpResponse write(const HttpRequest&, const std::string& kind);
    void watch(const std::string& kind, std::uint64_t after, std::int64_t waitMs, std::shared_ptr<HttpExchange>);
    HttpResponse eventsAfter(const std::string& kind, std::uint64_t after) const;
    bool hasEvents(const std::string& kind, std::uint64_t after) const;
    void recordChange(const std::string& kind, const std::string& name, const std::string& object, bool isDeleted);

    boost::asio::io_context& m_io;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    std::vector<Watch> m_watches;
    Faults m_faults;
    std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyStart = 0; ///< A watch from an earlier revision gets 410.
    std::size_t m_calls = 0;
    HttpServer m_server;
};

}
