#pragma once

#include "base/clock.h"
#include "forward/forward_action.h"
#include "gateway/server_protocol.h"
#include "http/http_client_connection.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheefield {

class ServerConnection;
using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

/// A server and its address: an address that is reused belongs to a different server.
using ServerKey = std::pair<ServerName, Endpoint>;

/// How a connection to a server ended.
struct ServerConnectionEnd {
    ServerCheck check = ServerCheck::Unreachable; ///< What the end tells of the server.
    std::optional<ServerRequestId> request; ///< The request that the connection carried, and that has no response.
    ServerRequestFailure failure = ServerRequestFailure::NotConnected; ///< Of the request.
};

/// Owner of ServerConnections. All calls come on the executor of the connections.
class ServerConnectionOwner {
public:
    virtual ~ServerConnectionOwner() = default;
    /// The server has taken the connection.
    virtual void onOpened(ServerConnection&) = 0;
    /// The connection may carry a request. It may still close before the executor's next handler runs.
    virtual void onIdle(const ServerConnectionPtr&) = 0;
    /// The request has its response. isReusable: onIdle() has been called before; otherwise the connection is closed.
    virtual void onResponse(ServerConnection&, ServerRequestId, ServerResponse, bool isReusable) = 0;
    /// The connection could not be opened, or has ended. Not called after close().
    virtual void onEnded(ServerConnection&, const ServerConnectionEnd&) = 0;
};

/// A connection to a backend server, and the request that it carries, if any. Keeps itself alive while it is open.
/// Not thread safe: every call is made on the executor.
class ServerConnection final : public HttpClientEvents, public std::enable_shared_from_this<ServerConnection> {
public:
    /// Preconditions: the executor is a strand; the clock and the protocol outlive the strand's run.
    ServerConnection(std::weak_ptr<ServerConnectionOwner>, const boost::asio::any_io_executor&, const Clock&, const ServerProtocol&, const ServerEntry&);

    /// Starts to connect. Precondition: not called before.
    void open();
    bool isOpened() const { return m_http != nullptr; }
    /// Sends the request as soon as the connection is open and accepted. Precondition: the connection carries no request.
    void assign(const SendServerRequest&);
    /// Lets the other connection carry the request. Preconditions: this one isn't opened and carries a request; the other one is to the
    /// same server, is idle and may carry it.
    void moveRequestTo(ServerConnection& other);
    /// Keeps nothing of the response to the current request.
    void discardResponse();
    /// Closes the connection. No event follows.
    void close();

    const ServerKey& key() const { return m_key; }
    const std::optional<SendServerRequest>& request() const { return m_request; }
    /// Whether a request for a server of these zones waits for this connection to open, so that the server has not seen it.
    bool isUnsentTo(const std::set<ZoneName>& zones) const { return !m_isAccepted && m_request && zones.contains(m_request->server.zone); }
    /// Whether the server may close the connection because it was idle for long.
    bool isStale(TimePoint now) const { return now >= m_usableUntil; }
    TimePoint idleSince() const { return m_idleSince; }
    /// Whether the request may be sent on this idle connection: it is fresh enough for one that must not be sent twice, and no response that
    /// arrives can be taken for one to an earlier send of the attempt.
    bool mayCarry(const SendServerRequest&, TimePoint now) const;

    void onConnected() override;
    void onResponse(HttpResponse) override;
    void onLost(bool bytesWritten, const std::string& reason) override;

private:
    ServerCheck checkAtEnd() const;
    ServerRequestFailure failureAtEnd(bool bytesWritten) const;
    /// Makes the connection available for later requests until the allowance ends.
    void becomeIdle(ServerConnectionOwner&, Duration allowance);
    void transmit();

    std::weak_ptr<ServerConnectionOwner> m_owner;
    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    const ServerProtocol& m_protocol;
    ServerKey m_key;
    ServiceName m_service;
    std::shared_ptr<HttpClientConnection> m_http; ///< Null until the connection is opened.
    std::optional<SendServerRequest> m_request;
    TimePoint m_usableUntil = never;
    TimePoint m_freshUntil = never;
    TimePoint m_idleSince {};
    TimePoint m_openedAt {};
    boost::asio::steady_timer m_acceptanceTimer;
    std::vector<std::string> m_refusedAttempts; ///< The attempts that the server refused on this connection. It may send a refusal twice, and late.
    bool m_isConnected = false;
    bool m_isAccepted = false; ///< The server has kept the connection open for a round trip: requests may be sent.
    bool m_isResponseUnneeded = false; ///< To the current request.
    bool m_isClosed = false;
};

}
