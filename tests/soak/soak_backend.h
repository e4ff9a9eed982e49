#pragma once

#include "crashing_requests.h"
#include "guarantee_checker.h"

#include "base/clock.h"
#include "base/random_source.h"
#include "http/http_server.h"
#include "support/fault_link.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <optional>
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
    SoakBackend(boost::asio::io_context&, std::string service, std::string name, std::string zone, GuaranteeChecker&, CrashingRequests&, RandomSource&);

    void handle(HttpRequest, std::shared_ptr<HttpExchange>) override;
    /// Returns the next version of the entry of the server for the store.
    std::string entry(bool isDraining) const;
    void setFaults(const BackendFaults& faults) { m_faults = faults; }
    FaultLink& link() { return *m_link; }
    /// Ends the server as a crash does; it is back seconds later.
    void crash();
    const std::string& name() const { return m_name; }
    const std::string& zone() const { return m_zone; }
    const std::string& service() const { return m_service; }
    /// Makes the server advertise a limit of requests per second, or none.
    void setLimit(std::optional<double>);
    /// From now on more requests than the limit allows are a violation.
    void checkLimit() { m_limitCheckedFrom = SteadyClock().now(); }
    /// Time after which a request to the draining server is a violation; `never` while it serves.
    TimePoint drainDeadline = never;
    /// The same while the server's zone is drained.
    TimePoint zoneDrainDeadline = never;

private:
    HttpResponse run(const HttpRequest&);
    /// Runs a request that crashes the server some time later.
    void runCrashing(const HttpRequest&, const std::shared_ptr<HttpExchange>&);
    void countForLimit(const std::string& id);
    /// Writes which requests came within the window, for the trace; once for each limit.
    void printArrivals();

    boost::asio::io_context& m_io;
    std::string m_service;
    std::string m_name;
    std::string m_zone;
    GuaranteeChecker& m_checker;
    CrashingRequests& m_crashing;
    RandomSource& m_random;
    HttpServer m_server;
    std::unique_ptr<FaultLink> m_link;
    BackendFaults m_faults;
    bool m_isDown = false;
    std::optional<double> m_limit;
    TimePoint m_limitCheckedFrom = never;
    struct Arrival {
        TimePoint at;
        std::string id; ///< Of the request.
    };
    std::deque<Arrival> m_arrivals; ///< Of the last seconds, while the limit is checked.
    bool m_hasPrintedArrivals = false; ///< Since the limit was set.
    std::uint64_t m_runs = 0;
    mutable std::uint64_t m_sequence = 0;
};

}
