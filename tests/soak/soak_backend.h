#pragma once

#include "fault_link.h"
#include "guarantee_checker.h"

#include "base/random_source.h"
#include "http/http_server.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace lycheefield::soak {

/// Faults of a backend server.
struct BackendFaults {
    Duration work = std::chrono::milliseconds(5); ///< Minimum service time.
    double failProbability = 0; ///< Share of requests that the server runs and answers with 500.
    double refuseProbability = 0; ///< Share of requests that the server marks as not executed.
    double loseProbability = 0; ///< Share of requests that the server runs without sending a response.
};

/// A backend server that implements the users' published protocol, behind a FaultLink.
class SoakBackend final : public HttpHandler {
public:
    SoakBackend(boost::asio::io_context&, std::string service, std::string name, std::string zone, GuaranteeChecker&, RandomSource&);

    void handle(HttpRequest, std::shared_ptr<HttpExchange>) override;
    /// Returns the next version of the entry of the server for the store.
    std::string entry(bool isDraining) const;
    void setFaults(const BackendFaults& faults) { m_faults = faults; }
    FaultLink& link() { return *m_link; }
    const std::string& name() const { return m_name; }
    const std::string& service() const { return m_service; }
    /// Time after which a request to the draining server is a violation; `never` while it serves.
    TimePoint drainDeadline = never;

private:
    HttpResponse run(const HttpRequest&);

    boost::asio::io_context& m_io;
    std::string m_service;
    std::string m_name;
    std::string m_zone;
    GuaranteeChecker& m_checker;
    RandomSource& m_random;
    HttpServer m_server;
    std::unique_ptr<FaultLink> m_link;
    BackendFaults m_faults;
    std::uint64_t m_runs = 0;
    mutable std::uint64_t m_sequence = 0;
};

}
