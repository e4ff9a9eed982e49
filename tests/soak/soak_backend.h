#pragma once

#include "fault_link.h"
#include "promises.h"

#include "base/random_source.h"
#include "http/http_server.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace lycheefield::soak {

/// What a backend server does wrong.
struct BackendFaults {
    Duration work = std::chrono::milliseconds(5);
    double failing = 0; ///< Share of requests that it runs and answers with 500.
    double refusing = 0; ///< Share that it proves not to have run.
    double losing = 0; ///< Share that it runs and never answers.
};

/// A backend server by the users' published protocol, behind a link that can be disturbed.
class SoakBackend final : public HttpHandler {
public:
    SoakBackend(boost::asio::io_context&, std::string service, std::string name, std::string zone, Promises&, RandomSource&);

    void handle(HttpRequest, std::shared_ptr<HttpExchange>) override;
    /// Its entry in the store.
    std::string entry(bool isDraining) const;
    void setFaults(const BackendFaults& faults) { m_faults = faults; }
    FaultLink& link() { return *m_link; }
    const std::string& name() const { return m_name; }
    const std::string& service() const { return m_service; }
    /// From then on no request should come any more; `never`: it serves.
    TimePoint closedAt = never;

private:
    HttpResponse run(const HttpRequest&);

    boost::asio::io_context& m_io;
    std::string m_service;
    std::string m_name;
    std::string m_zone;
    Promises& m_promises;
    RandomSource& m_random;
    HttpServer m_server;
    std::unique_ptr<FaultLink> m_link;
    BackendFaults m_faults;
    std::uint64_t m_runs = 0;
    mutable std::uint64_t m_sequence = 0;
};

}
