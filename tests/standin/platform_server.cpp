#include "standin/platform_server.h"

#include "base/clock.h"
#include "platform/http_date.h"
#include "platform/percent_coding.h"
#include "standin/platform_json.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <ctime>
#include <set>

namespace lycheefield::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t bodyLimit = 4 * 1024 * 1024;
constexpr Duration maxWatch = 30s;

struct Target {
    std::string path;
    std::map<std::string, std::string> query;

    std::uint64_t number(const std::string& name) const
    {
        std::uint64_t n = 0;
        if (auto it = query.find(name); it != query.end())
            std::from_chars(it->second.data(), it->second.data() + it->second.size(), n);
        return n;
    }
    std::string text(const std::string& name) const
    {
        auto it = query.find(name);
        return it == query.end() ? std::string {} : it->second;
    }
};

Target parseTarget(std::string_view raw)
{
    Target target;
    const auto mark = raw.find('?');
    target.path = percentDecode(raw.substr(0, mark)).value_or("");
    if (mark == std::string_view::npos)
        return target;
    auto rest = raw.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos)
            target.query[std::string(pair.substr(0, equals))] = percentDecode(pair.substr(equals + 1)).value_or("");
        rest = end == std::string_view::npos ? std::string_view {} : rest.substr(end + 1);
    }
    return target;
}

/// Returns the rest of the path after the prefix; no value when the path does not start with the prefix.
std::optional<std::string> suffixAfter(const std::string& path, std::string_view prefix)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    return path.substr(prefix.size());
}

}

class PlatformServer::Impl : public std::enable_shared_from_this<Impl> {
public:
    class Session;

    Impl(asio::io_context& context, const PlatformFaults& faults)
        : m_strand(asio::make_strand(context))
        , m_acceptor(m_strand)
        , m_lateTimer(m_strand)
    {
        m_store.setFaults(faults);
    }

    std::uint16_t listen(const std::string& address, std::uint16_t port);
    void stop();
    void accept();
    void wakeWatchers();
    /// Arms the timer for the next late write.
    void scheduleLateWrites();

    TimePoint now() const { return m_clock.now(); }
    PlatformStore& store() { return m_store; }

private:
    asio::strand<asio::io_context::executor_type> m_strand;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_lateTimer;
    SteadyClock m_clock;
    PlatformStore m_store;
    std::set<std::shared_ptr<Session>> m_sessions;
    bool m_isWakeQueued = false;
};

/// One client connection: reads a request, responds, and reads the next.
class PlatformServer::Impl::Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<Impl> impl, tcp::socket socket)
        : m_impl(std::move(impl))
        , m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
    {
    }

    void read();
    void close();
    /// Ends a pending watch if a matching object has changed or an outage has begun.
    void onChange();

private:
    void handle();
    void handleObject(const std::string& key);
    void handleList();
    void handleWatch();
    void handleInstances();
    void handleInstance(const std::string& name);
    void handleControl(const std::string& name);
    void finishWatch(PlatformStatus);

    void respond(const StoreResult&, std::string body);
    void respond(unsigned int status, std::string body, Duration delay = {});
    void send();

    std::shared_ptr<Impl> m_impl;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    beast::flat_buffer m_buf;
    std::optional<http::request_parser<http::string_body>> m_parser;
    Target m_target;
    http::response<http::string_body> m_response;
    bool m_isWatching = false;
};

void PlatformServer::Impl::Session::read()
{
    m_parser.emplace();
    m_parser->body_limit(bodyLimit);
    http::async_read(m_socket, m_buf, *m_parser, [self = shared_from_this()](error_code ec, std::size_t) {
        if (ec == http::error::body_limit)
            return self->respond(static_cast<unsigned int>(PlatformStatus::TooLarge), "{}");
        if (ec)
            return self->close();
        self->handle();
    });
}

void PlatformServer::Impl::Session::close()
{
    error_code ec;
    m_socket.close(ec);
    m_timer.cancel();
    m_impl->m_sessions.erase(shared_from_this());
}

void PlatformServer::Impl::Session::handle()
{
    m_target = parseTarget({ m_parser->get().target().data(), m_parser->get().target().size() });
    if (auto key = suffixAfter(m_target.path, "/v1/objects/"))
        return handleObject(*key);
    if (m_target.path == "/v1/list")
        return handleList();
    if (m_target.path == "/v1/watch")
        return handleWatch();
    if (m_target.path == "/v1/instances")
        return handleInstances();
    if (auto name = suffixAfter(m_target.path, "/v1/instances/"))
        return handleInstance(*name);
    if (auto name = suffixAfter(m_target.path, "/standin/"))
        return handleControl(*name);
    respond(static_cast<unsigned int>(PlatformStatus::NotFound), "{}");
}

void PlatformServer::Impl::Session::handleObject(const std::string& key)
{
    auto& store = m_impl->m_store;
    if (m_parser->get().method() == http::verb::get) {
        const auto result = store.read(key, m_impl->now());
        return respond(result, result.status == PlatformStatus::Ok ? objectJson(result.object) : "{}");
    }
    if (m_parser->get().method() != http::verb::put || !m_target.query.contains("if-version"))
        return respond(400, "{}");
    const ObjectVersion expected { m_target.number("if-version") };
    const auto result = store.write(key, expected, m_parser->get().body(), m_impl->now());
    m_impl->scheduleLateWrites();
    const bool hasVersion = result.status == PlatformStatus::Ok || result.status == PlatformStatus::Conflict;
    respond(result, hasVersion ? versionJson(result.object.version) : "{}");
}

void PlatformServer::Impl::Session::handleList()
{
    const auto result = m_impl->m_store.list(m_target.text("prefix"), m_impl->now());
    respond(result, result.status == PlatformStatus::Ok ? listJson(result.revision, result.objects) : "{}");
}

void PlatformServer::Impl::Session::handleWatch()
{
    const auto admission = m_impl->m_store.beginWatch(m_impl->now());
    if (admission.status != PlatformStatus::Ok)
        return respond(admission, "{}");
    if (!m_impl->m_store.changedAfter(m_target.text("prefix"), m_target.number("after")).empty())
        return finishWatch(PlatformStatus::Ok);
    m_isWatching = true;
    Duration wait = maxWatch;
    if (m_target.query.contains("timeout-ms"))
        wait = std::min<Duration>(wait, std::chrono::milliseconds(m_target.number("timeout-ms")));
    m_timer.expires_after(wait);
    m_timer.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec && self->m_isWatching)
            self->finishWatch(PlatformStatus::Ok);
    });
}

void PlatformServer::Impl::Session::onChange()
{
    if (!m_isWatching)
        return;
    const auto& store = m_impl->m_store;
    if (store.faults().outage)
        return finishWatch(PlatformStatus::Outage);
    if (!store.changedAfter(m_target.text("prefix"), m_target.number("after")).empty())
        finishWatch(PlatformStatus::Ok);
}

void PlatformServer::Impl::Session::finishWatch(PlatformStatus status)
{
    m_isWatching = false;
    m_timer.cancel();
    const auto& store = m_impl->m_store;
    if (status != PlatformStatus::Ok)
        return respond(static_cast<unsigned int>(status), "{}");
    const auto changed = store.changedAfter(m_target.text("prefix"), m_target.number("after"));
    respond(static_cast<unsigned int>(status), listJson(store.revision(), changed), store.faults().delay);
}

void PlatformServer::Impl::Session::handleInstances()
{
    const auto reports = m_impl->m_store.instances(m_impl->now());
    if (!reports)
        return respond(static_cast<unsigned int>(PlatformStatus::Outage), "{}");
    respond(static_cast<unsigned int>(PlatformStatus::Ok), instancesJson(*reports), m_impl->m_store.faults().delay);
}

void PlatformServer::Impl::Session::handleInstance(const std::string& name)
{
    auto report = instanceReport(name, m_parser->get().body());
    if (m_parser->get().method() != http::verb::put || !report)
        return respond(400, "{}");
    respond(m_impl->m_store.reportInstance(name, std::move(*report), m_impl->now()), "{}");
}

void PlatformServer::Impl::Session::handleControl(const std::string& name)
{
    auto& store = m_impl->m_store;
    const auto method = m_parser->get().method();
    const auto ok = static_cast<unsigned int>(PlatformStatus::Ok);
    if (name == "counters" && method == http::verb::get)
        return respond(ok, countersJson(store.counters()));
    if (name == "faults" && method == http::verb::get)
        return respond(ok, faultsJson(store.faults()));
    if (name == "faults" && method == http::verb::put) {
        const auto faults = changeFaults(store.faults(), m_parser->get().body());
        if (!faults)
            return respond(400, "{}");
        store.setFaults(*faults);
        m_impl->wakeWatchers();
        return respond(ok, faultsJson(*faults));
    }
    if (auto instance = suffixAfter(name, "instances/"); instance && method == http::verb::delete_) {
        store.removeInstance(*instance, m_impl->now());
        return respond(ok, "{}");
    }
    respond(static_cast<unsigned int>(PlatformStatus::NotFound), "{}");
}

void PlatformServer::Impl::Session::respond(const StoreResult& result, std::string body)
{
    if (result.lost)
        return close();
    respond(static_cast<unsigned int>(result.status), std::move(body), result.delay);
}

void PlatformServer::Impl::Session::respond(unsigned int status, std::string body, Duration delay)
{
    m_response = {};
    m_response.version(11);
    m_response.result(status);
    m_response.set(http::field::date, toHttpDate(std::time(nullptr)));
    m_response.set(http::field::content_type, "application/json");
    m_response.keep_alive(m_parser->is_done() && m_parser->get().keep_alive());
    m_response.body() = std::move(body);
    m_response.prepare_payload();
    if (delay == Duration {})
        return send();
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec)
            self->send();
    });
}

void PlatformServer::Impl::Session::send()
{
    http::async_write(m_socket, m_response, [self = shared_from_this()](error_code ec, std::size_t) {
        if (ec || !self->m_response.keep_alive())
            return self->close();
        self->read();
    });
}

std::uint16_t PlatformServer::Impl::listen(const std::string& address, std::uint16_t port)
{
    const tcp::endpoint endpoint(asio::ip::make_address(address), port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    m_store.onChange([weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->wakeWatchers();
    });
    asio::post(m_strand, [self = shared_from_this()] { self->accept(); });
    return m_acceptor.local_endpoint().port();
}

void PlatformServer::Impl::accept()
{
    m_acceptor.async_accept(m_strand, [self = shared_from_this()](error_code ec, tcp::socket socket) {
        if (ec)
            return;
        socket.set_option(tcp::no_delay(true), ec);
        auto session = std::make_shared<Session>(self, std::move(socket));
        self->m_sessions.insert(session);
        session->read();
        self->accept();
    });
}

void PlatformServer::Impl::wakeWatchers()
{
    // Posted, so that a session responds to the write that caused the change before the watchers are woken.
    if (m_isWakeQueued)
        return;
    m_isWakeQueued = true;
    asio::post(m_strand, [self = shared_from_this()] {
        self->m_isWakeQueued = false;
        const auto sessions = self->m_sessions;
        for (const auto& session : sessions)
            session->onChange();
    });
}

void PlatformServer::Impl::scheduleLateWrites()
{
    const auto next = m_store.nextWake();
    if (next == never)
        return;
    m_lateTimer.expires_after(std::max(Duration {}, next - now()));
    m_lateTimer.async_wait([self = shared_from_this()](error_code ec) {
        if (ec)
            return;
        self->m_store.advance(self->now());
        self->scheduleLateWrites();
    });
}

void PlatformServer::Impl::stop()
{
    asio::dispatch(m_strand, [self = shared_from_this()] {
        error_code ec;
        self->m_acceptor.close(ec);
        self->m_lateTimer.cancel();
        const auto sessions = self->m_sessions;
        for (const auto& session : sessions)
            session->close();
    });
}

PlatformServer::PlatformServer(asio::io_context& context, const PlatformFaults& faults)
    : m_impl(std::make_shared<Impl>(context, faults))
{
}

PlatformServer::~PlatformServer()
{
    stop();
}

std::uint16_t PlatformServer::listen(const std::string& address, std::uint16_t port)
{
    return m_impl->listen(address, port);
}

void PlatformServer::stop()
{
    m_impl->stop();
}

PlatformStore& PlatformServer::store()
{
    return m_impl->store();
}

}
