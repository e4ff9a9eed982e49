#include "gateway/server_connection.h"

#include <algorithm>

namespace lycheefield {

namespace {

constexpr Duration connectTimeout = std::chrono::seconds(1);
/// The time for which an idle connection is reused when its server gives no limit.
constexpr Duration defaultIdleAllowance = std::chrono::seconds(4);
/// A request that is not idempotent must not be sent twice, so it uses an idle connection only within the first
/// 1/freshDivisor of the idle time that the server allows.
constexpr int freshDivisor = 3;
/// Added to the time that connecting took (about one round trip) before the first request is sent.
constexpr Duration acceptanceMargin = std::chrono::microseconds(300);
/// A connection on which the server refused so many attempts is closed instead of remembering more.
constexpr std::size_t maxRefusedAttempts = 32;
constexpr std::uint64_t maxResponseBytes = 8ULL * 1024 * 1024;
constexpr std::uint32_t maxResponseHeaderBytes = 32 * 1024;
/// The minimum time left that a request tells its server: with zero the server would not begin.
constexpr Duration minTimeLeft = std::chrono::milliseconds(1);

HttpLimits responseLimits()
{
    HttpLimits limits;
    limits.maxBodyBytes = maxResponseBytes;
    limits.maxHeaderBytes = maxResponseHeaderBytes;
    return limits;
}

}

ServerConnection::ServerConnection(
    std::weak_ptr<ServerConnectionOwner> owner, const boost::asio::any_io_executor& executor, const Clock& clock, const ServerProtocol& protocol, const ServerEntry& server)
    : m_owner(std::move(owner))
    , m_executor(executor)
    , m_clock(clock)
    , m_protocol(protocol)
    , m_key(server.name, server.endpoint)
    , m_service(server.service)
    , m_acceptanceTimer(executor)
{
}

void ServerConnection::open()
{
    m_openedAt = m_clock.now();
    m_http = openHttpConnection(m_executor, m_key.second, weak_from_this(), connectTimeout, responseLimits(), m_service.value());
}

void ServerConnection::assign(const SendServerRequest& request)
{
    m_request = request;
    m_isResponseUnneeded = false;
    if (m_isAccepted)
        transmit();
}

void ServerConnection::moveRequestTo(ServerConnection& other)
{
    other.assign(*std::exchange(m_request, std::nullopt));
    if (m_isResponseUnneeded)
        other.discardResponse();
}

void ServerConnection::discardResponse()
{
    m_isResponseUnneeded = true;
    if (m_isAccepted)
        m_http->discardResponse();
}

void ServerConnection::close()
{
    m_request.reset();
    m_isClosed = true;
    m_acceptanceTimer.cancel();
    if (m_http)
        m_http->close();
}

bool ServerConnection::mayCarry(const SendServerRequest& request, TimePoint now) const
{
    const bool wasRefused = std::find(m_refusedAttempts.begin(), m_refusedAttempts.end(), request.attemptId) != m_refusedAttempts.end();
    return !wasRefused && (request.isIdempotent || now < m_freshUntil);
}

/// A server at its connection limit closes a connection right after accepting it, which this process
/// learns one round trip later. No request is sent before then, so a rejected request has certainly
/// not run.
void ServerConnection::onConnected()
{
    const auto owner = m_owner.lock();
    if (!owner)
        return;
    m_isConnected = true;
    owner->onOpened(*this);
    m_acceptanceTimer.expires_after(m_clock.now() - m_openedAt + acceptanceMargin);
    m_acceptanceTimer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (ec || self->m_isClosed)
            return;
        self->m_isAccepted = true;
        if (self->m_request)
            return self->transmit();
        if (const auto owner = self->m_owner.lock())
            self->becomeIdle(*owner, defaultIdleAllowance);
    });
}

void ServerConnection::onResponse(HttpResponse message)
{
    const auto owner = m_owner.lock();
    if (!owner || !m_request)
        return;
    const auto request = *std::exchange(m_request, std::nullopt);
    const auto declared = m_protocol.idleAllowance(message);
    auto response = m_protocol.read(std::move(message), request.attemptId);
    if (response.kind == ServerResponseKind::NotRun || response.kind == ServerResponseKind::WrongServer)
        m_refusedAttempts.push_back(request.attemptId);
    const bool isReusable = response.kind != ServerResponseKind::Unusable && m_refusedAttempts.size() < maxRefusedAttempts;
    if (isReusable)
        becomeIdle(*owner, declared == Duration {} ? defaultIdleAllowance : declared);
    else
        m_http->close();
    owner->onResponse(*this, request.id, std::move(response), isReusable);
}

void ServerConnection::onLost(bool bytesWritten, const std::string&)
{
    m_isClosed = true;
    m_acceptanceTimer.cancel();
    const auto owner = m_owner.lock();
    if (!owner)
        return;
    ServerConnectionEnd end { checkAtEnd(), {}, failureAtEnd(bytesWritten) };
    if (m_request)
        end.request = std::exchange(m_request, std::nullopt)->id;
    owner->onEnded(*this, end);
}

ServerCheck ServerConnection::checkAtEnd() const
{
    if (m_http->lackedResources())
        return ServerCheck::NotMade;
    return m_http->wasRejected() ? ServerCheck::Ended : ServerCheck::Unreachable;
}

ServerRequestFailure ServerConnection::failureAtEnd(bool bytesWritten) const
{
    if (bytesWritten)
        return ServerRequestFailure::Broken;
    if (m_isConnected)
        return ServerRequestFailure::ConnectionRejected;
    return m_http->lackedResources() ? ServerRequestFailure::NoLocalResources : ServerRequestFailure::NotConnected;
}

void ServerConnection::becomeIdle(ServerConnectionOwner& owner, Duration allowance)
{
    m_idleSince = m_clock.now();
    m_usableUntil = m_idleSince + allowance;
    m_freshUntil = m_idleSince + allowance / freshDivisor;
    owner.onIdle(shared_from_this());
}

void ServerConnection::transmit()
{
    const auto left = std::max(minTimeLeft, Duration(m_request->deadline - m_clock.now()));
    m_http->send(m_protocol.write(*m_request->message, { m_request->server.name, left, m_request->team }));
    if (m_isResponseUnneeded)
        m_http->discardResponse();
}

}
