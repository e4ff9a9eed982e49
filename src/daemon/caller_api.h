#pragma once

#include "daemon/claim_service.h"
#include "daemon/entry_driver.h"
#include "daemon/request_log.h"
#include "http/http_server.h"

#include <functional>
#include <memory>
#include <string>

namespace lycheefield {

/// Interface to the operators' paths (/healthz, /status, …). Thread safe.
class OperatorApi {
public:
    virtual ~OperatorApi() = default;
    /// Answers the request. Returns false, and leaves the exchange alone, when the path is not an operators' path.
    virtual bool handle(const HttpRequest&, const std::shared_ptr<HttpExchange>&) = 0;
};

/// Accepts callers' requests over HTTP: matches the rule, claims the idempotency key of an order, starts
/// the query and sends the answer. Thread safe.
class CallerApi final : public HttpHandler {
public:
    /// Precondition: all arguments outlive the HTTP server that calls this handler.
    CallerApi(EntryDriver&, const SharedTables&, ClaimService&, RequestLog&, OperatorApi&, std::shared_ptr<const Clock>, std::uint32_t maxLegs, ByteCount maxKey);

    void handle(HttpRequest, std::shared_ptr<HttpExchange>) override;

private:
    struct Call;

    void handleCall(HttpRequest, std::shared_ptr<HttpExchange>);
    void start(const std::shared_ptr<Call>&);
    void claimThenStart(const std::shared_ptr<Call>&, const Rule&, const std::string& key);
    void onClaimDecided(const std::shared_ptr<Call>&, const ClaimDecided&);
    void settleClaim(const Answer&, const HttpResponse&);
    void respond(const Call&, HttpResponse) const;

    EntryDriver& m_entry;
    const SharedTables& m_tables;
    ClaimService& m_claims;
    RequestLog& m_log;
    OperatorApi& m_operators;
    std::shared_ptr<const Clock> m_clock;
    std::uint32_t m_maxLegs; ///< Per request.
    ByteCount m_maxKey; ///< Limit of the length of an idempotency key.
};

}
