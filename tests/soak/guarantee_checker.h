#pragma once

#include "base/time.h"
#include "http/http_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheefield::soak {

/// One request that a caller sends.
struct SoakRequest {
    std::string id;
    std::string gateway;
    std::string method;
    std::string target;
    std::string body;
    bool isSearch = false;
    bool isIdempotent = true;
    std::optional<bool> isRouted; ///< Whether the configuration in force has a route for the request; no value: unknown.

    friend bool operator==(const SoakRequest&, const SoakRequest&) = default;
};

/// Outcome of a request as its caller saw it.
struct RequestOutcome {
    bool isAnswered = false; ///< False when the connection closed without an answer.
    HttpResponse response;
    bool isUnexpectedClose = false; ///< The connection closed although the gateway had no fault.

    friend bool operator==(const RequestOutcome&, const RequestOutcome&) = default;
};

/// One execution of a request by a backend server.
struct ServerRun {
    std::string service;
    std::string server;
    std::string signature;
    std::string requestId;
    std::string method;
    std::string target;
    std::string requestBody;
    std::string body; ///< Of the response.
    unsigned status = 200;

    friend bool operator==(const ServerRun&, const ServerRun&) = default;
};

/// Checks the observations of callers and servers against the guarantees of the gateway. No I/O.
class GuaranteeChecker {
public:
    GuaranteeChecker(std::set<std::string> shards, std::size_t topRecords, std::size_t maxRuns, std::size_t minShards);

    void onSent(const SoakRequest&);
    void onOutcome(const std::string& id, const RequestOutcome&);
    void onRun(const ServerRun&);
    /// Records a violation that the caller of this function found.
    void fail(const std::string& violation) { ++m_violations[violation]; }
    /// Checks all requests. Precondition: no request is in flight.
    void checkAll();

    /// Number of violations of each kind.
    const std::map<std::string, std::size_t>& violations() const { return m_violations; }
    std::size_t answers() const { return m_answers; }
    std::size_t successes() const { return m_successes; }
    std::size_t checks() const { return m_checks; }

private:
    struct TrackedRequest {
        SoakRequest request;
        std::vector<ServerRun> runs;
        RequestOutcome outcome;
        bool isFinished = false;
    };

    void expect(bool holds, const std::string& violation, const TrackedRequest&);
    void checkSuccess(const TrackedRequest&);
    void checkSearch(const TrackedRequest&);
    void checkRuns(const TrackedRequest&);

    std::set<std::string> m_shards;
    std::size_t m_topRecords;
    std::size_t m_maxRuns;
    std::size_t m_minShards;
    std::map<std::string, TrackedRequest> m_requests;
    std::map<std::string, std::size_t> m_violations;
    std::size_t m_answers = 0;
    std::size_t m_successes = 0;
    std::size_t m_checks = 0;
};

}
