#pragma once

#include "daemon/entry_driver.h"
#include "daemon/peer_calls.h"
#include "daemon/request_log.h"
#include "http/http_message.h"

#include <functional>
#include <memory>
#include <string>

namespace lycheefield {

/// What operators and callers may ask about a request by its id.
enum class RequestVerb : std::uint8_t {
    Cancel,
    Explain,
    Trace, ///< As OTLP JSON.
    Tree, ///< The trace drawn for people.
};

/// Answers questions about a request at the instance that took it: the id names that process's
/// life, so any instance can pass the question on. Thread safe.
class RequestAdmin {
public:
    using Done = std::function<void(HttpResponse)>;

    /// Precondition: all outlive the desk.
    RequestAdmin(InstanceName self, EntryDriver&, const RequestLog&, const SharedTables&, PeerCalls&);

    /// Answers here, or asks the instance that took the request.
    void handle(RequestVerb, const RequestId&, Done);
    /// A question that another instance passed on.
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
