#pragma once

#include "daemon/entry_driver.h"
#include "daemon/peer_calls.h"
#include "daemon/request_log.h"
#include "http/http_message.h"

#include <functional>
#include <memory>
#include <string>

namespace lycheefield {

/// Operations of operators and callers on a request, given its id.
enum class RequestVerb : std::uint8_t {
    Cancel,
    Explain,
    Trace, ///< The trace as OTLP JSON.
    Tree, ///< The trace as a text tree.
};

/// Cancels and explains requests by their id. Each operation runs at the instance that accepted the request: the
/// id names that process life, so any instance can pass the operation on. Thread safe.
class RequestAdmin {
public:
    using Done = std::function<void(HttpResponse)>;

    /// Precondition: all arguments outlive this object.
    RequestAdmin(InstanceName self, EntryDriver&, const RequestLog&, const SharedTables&, PeerCalls&);

    /// Runs the operation here, or calls the instance that accepted the request.
    void handle(RequestVerb, const RequestId&, Done);
    /// Handles an operation that another instance passed on.
    void onCall(const std::string& verb, const std::string& argument, const PeerCalls::Respond&);

private:
    void handleLocally(RequestVerb, const RequestId&, const Done&);
    HttpResponse explain(const RequestId&) const;
    HttpResponse trace(const RequestId&) const;
    HttpResponse tree(const RequestId&) const;

    InstanceName m_self;
    EntryDriver& m_entry;
    const RequestLog& m_log;
    const SharedTables& m_tables;
    PeerCalls& m_calls;
};

}
