#include "standin/backend_session.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace lycheefield::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

std::uint64_t numberIn(const http::request<http::string_body>& request, const char* name)
{
    const auto text = request[name];
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

LegKey keyOf(const http::request<http::string_body>& request)
{
    LegKey key;
    const auto text = request["X-Request-Id"];
    key.request = RequestId::parse(std::string_view(text.data(), text.size())).value_or(RequestId {});
    key.leg = LegNumber(static_cast<std::uint32_t>(numberIn(request, "X-Leg")));
    key.attempt = AttemptNumber(static_cast<std::uint32_t>(numberIn(request, "X-Attempt")));
    return key;
}

RequestKind kindOf(const http::request<http::string_body>& request)
{
    if (request["X-Kind"] == "order")
        return RequestKind::Order;
    return request["X-Kind"] == "record" ? RequestKind::Record : RequestKind::Search;
}

template <typename Ids>
std::string commaList(const Ids& ids)
{
    std::string text;
    for (const auto& it : ids) {
        if (!text.empty())
            text += ',';
        if constexpr (std::is_same_v<std::decay_t<decltype(it.value())>, std::string>)
            text += it.value();
        else
            text += std::to_string(it.value());
    }
    return text;
}

/// Echoes the request body, by which a load tool detects an answer to another request, and the
/// traceparent, by which a test checks trace propagation.
std::string resultOf(const BackendResponse& result, const std::string& server)
{
    return json::serialize(json::object { { "server", server }, { "version", result.version.value() }, { "echo", result.body }, { "traceparent", result.traceparent } });
}

std::string healthOf(BackendServer& server)
{
    const bool lies = server.behaviour().healthLies;
    json::array versions;
    for (const auto& it : server.versions())
        versions.emplace_back(it.value());
    return json::serialize(json::object { { "busy", lies ? 0 : server.busySlots() }, { "slots", server.behaviour().slots },
        { "draining", !lies && server.behaviour().draining }, { "versions", std::move(versions) } });
}

http::response<http::string_body> jsonResponse(http::status status, std::string body)
{
    http::response<http::string_body> response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

}

BackendSession::BackendSession(asio::ip::tcp::socket socket, std::shared_ptr<BackendListener> listener, std::uint64_t connection)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_listener(std::move(listener))
    , m_connection(connection)
{
}

void BackendSession::start(Duration connectCost)
{
    m_timer.expires_after(connectCost);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code) { self->read(); });
}

void BackendSession::read()
{
    m_request = {};
    http::async_read(m_socket, m_buffer, m_request, [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        if (ec) {
            self->close();
            return;
        }
        const auto request = std::move(self->m_request);
        self->m_keepAlive = request.keep_alive();
        if (self->m_keepAlive)
            self->read();
        self->onRequest(request);
    });
}

void BackendSession::onRequest(const Request& request)
{
    const std::string target(request.target());
    if (target == "/v1/run")
        return onRun(request);
    if (target == "/v1/cancel")
        return onCancel(request);
    if (target == "/v1/health")
        return enqueue(jsonResponse(http::status::ok, healthOf(m_listener->server())));
    if (target.starts_with("/standin/") && m_listener->control())
        return enqueue(jsonResponse(http::status::ok, m_listener->control()(target)));
    enqueue(jsonResponse(http::status::not_found, "{}"));
}

void BackendSession::onRun(const Request& request)
{
    BackendRequest run;
    run.connection = m_connection;
    run.key = keyOf(request);
    run.kind = kindOf(request);
    run.shard = ShardNumber(static_cast<std::uint32_t>(numberIn(request, "X-Shard")));
    run.version = IndexVersion(numberIn(request, "X-Index-Version"));
    run.epoch = PartitionEpoch(numberIn(request, "X-Partition-Epoch"));
    const auto now = m_listener->now();
    if (request.count("X-Deadline-Us"))
        run.deadline = now + Duration(numberIn(request, "X-Deadline-Us"));
    run.traceparent = std::string(request["traceparent"]);
    run.body = request.body();
    std::vector<BackendResponse> responses;
    m_listener->server().receive(run, now, responses);
    m_listener->deliver(responses);
}

void BackendSession::onCancel(const Request& request)
{
    std::vector<BackendResponse> responses;
    m_listener->server().cancel(keyOf(request), m_listener->now(), responses);
    enqueue(http::response<http::string_body>(http::status::no_content, 11));
    m_listener->deliver(responses);
}

void BackendSession::send(const BackendResponse& result)
{
    auto response = jsonResponse(http::int_to_status(result.status), result.status == 200 ? resultOf(result, m_listener->server().name().value()) : "{}");
    response.result(result.status);
    response.set("X-Index-Version", std::to_string(result.version.value()));
    response.set("X-Partition-Epoch", std::to_string(result.epoch.value()));
    response.set("X-Index-Versions", commaList(result.versions));
    if (!result.batches.empty())
        response.set("X-Batches", commaList(result.batches));
    if (!result.reason.empty())
        response.set("X-Reason", result.reason);
    if (result.draining)
        response.set("X-Draining", "1");
    if (result.retryAfter.count())
        response.set("Retry-After-Ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(result.retryAfter).count()));
    enqueue(std::move(response));
}

void BackendSession::enqueue(Response response)
{
    response.keep_alive(m_keepAlive);
    m_responses.push_back(std::move(response));
    if (m_responses.size() == 1)
        write();
}

void BackendSession::write()
{
    http::async_write(m_socket, m_responses.front(), [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        if (ec) {
            self->close();
            return;
        }
        self->m_responses.pop_front();
        if (!self->m_responses.empty())
            self->write();
        else if (!self->m_keepAlive)
            self->close();
    });
}

void BackendSession::abort()
{
    boost::system::error_code ec;
    m_socket.set_option(asio::socket_base::linger(true, 0), ec);
    close();
}

void BackendSession::close()
{
    boost::system::error_code ec;
    m_socket.close(ec);
    m_listener->remove(m_connection);
}

}
