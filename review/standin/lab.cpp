#include "lab.h"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/json.hpp>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {

namespace json = boost::json;
namespace fs = std::filesystem;

namespace {

const auto startedAt = std::chrono::steady_clock::now();

constexpr double serverIdleTimeout = 15;
constexpr double clientGrace = 1;

struct FolderRemover {
    std::string path;
    ~FolderRemover()
    {
        std::error_code ec;
        if (!path.empty())
            fs::remove_all(path, ec);
    }
};

sockaddr_in toSockaddr(const Address& address)
{
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
    return out;
}

std::string reason(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 421:
        return "Misdirected Request";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

std::string response(int status, const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason(status) + "\r\n";
    for (const auto& [name, value] : headers)
        out += name + ": " + value + "\r\n";
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string percentDecode(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

std::map<std::string, std::string> parseQuery(const std::string& query)
{
    std::map<std::string, std::string> out;
    std::istringstream in(query);
    for (std::string part; std::getline(in, part, '&');) {
        const auto eq = part.find('=');
        if (eq != std::string::npos)
            out[part.substr(0, eq)] = percentDecode(part.substr(eq + 1));
    }
    return out;
}

void replaceAll(std::string& text, const std::string& from, const std::string& to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

std::string number(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

}

std::atomic<std::uint64_t> resentOnSameConnection { 0 };

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
}

void sleepFor(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void sleepUntil(double time) { sleepFor(time - now()); }

double randomUnit()
{
    thread_local std::mt19937_64 engine(std::random_device {}());
    return std::uniform_real_distribution<double>(0, 1)(engine);
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

std::string newAttemptId()
{
    thread_local std::mt19937_64 engine(std::random_device {}());
    char buf[32];
    std::snprintf(buf, sizeof(buf), "%016llx", static_cast<unsigned long long>(engine()));
    return buf;
}

std::string stamp(const std::string& serverId, const std::string& attemptId) { return serverId + "." + attemptId; }

std::string temporaryFolder()
{
    static FolderRemover remover;
    if (remover.path.empty()) {
        std::string path = (fs::temp_directory_path() / "lycheefield-review-XXXXXX").string();
        if (!mkdtemp(path.data()))
            throw std::runtime_error("no temporary folder");
        remover.path = path;
    }
    return remover.path;
}

namespace {

/// Returns an N that no other script uses now. A socket that stays bound for the life of the process keeps it, so that
/// two scripts never start gateways on one address: the port of their metrics is fixed.
int reserveNetwork()
{
    constexpr int first = 16;
    constexpr int count = 200;
    constexpr int guardPort = 9463;
    for (int i = 0; i < count; ++i) {
        const int n = first + (getpid() + i) % count;
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = toSockaddr({ "127." + std::to_string(n) + ".0.254", guardPort });
        if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 && listen(fd, 1) == 0)
            return n;
        ::close(fd);
    }
    throw std::runtime_error("no free loopback network");
}

}

std::string loopback(int group, int host)
{
    static const int network = reserveNetwork();
    return "127." + std::to_string(network) + "." + std::to_string(group) + "." + std::to_string(host);
}

int freePort(const std::string& ip)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = toSockaddr({ ip, 0 });
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
        throw std::runtime_error("no free port on " + ip);
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
}

Record::Record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w"))
{
    if (!m_file)
        throw std::runtime_error("can't write " + path);
}

Record::~Record() { std::fclose(m_file); }

void Record::line(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%9.3f %s\n", now(), text.c_str());
    std::fflush(m_file);
}

std::string Message::header(const std::string& name) const
{
    for (const auto& [field, value] : headers) {
        if (strcasecmp(field.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

int Message::status() const { return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0; }
std::string Message::method() const { return startLine.substr(0, startLine.find(' ')); }

std::string Message::target() const
{
    const auto from = startLine.find(' ') + 1;
    return startLine.substr(from, startLine.find(' ', from) - from);
}

Connection::~Connection()
{
    if (m_fd >= 0)
        ::close(m_fd);
}

std::unique_ptr<Connection> Connection::open(const Address& to, double timeout)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit { static_cast<time_t>(timeout), static_cast<suseconds_t>((timeout - static_cast<time_t>(timeout)) * 1e6) };
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const auto address = toSockaddr(to);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return nullptr;
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return std::make_unique<Connection>(fd);
}

bool Connection::fill(double until)
{
    pollfd entry { m_fd, POLLIN, 0 };
    const auto left = until - now();
    if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left * 1000) + 1) <= 0)
        return false;
    char buf[16384];
    const auto n = ::recv(m_fd, buf, sizeof(buf), 0);
    if (n <= 0)
        return false;
    m_buf.append(buf, static_cast<std::size_t>(n));
    return true;
}

bool Connection::read(Message& message, double timeout)
{
    const auto until = now() + timeout;
    std::size_t end;
    while ((end = m_buf.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until))
            return false;
    }
    message = {};
    std::istringstream in(m_buf.substr(0, end + 2));
    std::string line;
    std::getline(in, message.startLine);
    if (!message.startLine.empty())
        message.startLine.pop_back();
    while (std::getline(in, line)) {
        line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers.emplace_back(line.substr(0, colon), value);
    }
    const auto length = static_cast<std::size_t>(std::atoll(message.header("Content-Length").c_str()));
    while (m_buf.size() < end + 4 + length) {
        if (!fill(until))
            return false;
    }
    message.body = m_buf.substr(end + 4, length);
    m_buf.erase(0, end + 4 + length);
    return true;
}

bool Connection::write(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

bool Connection::isPeerGone()
{
    char byte;
    const auto n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::reset()
{
    const linger option { 1, 0 };
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    ::shutdown(m_fd, SHUT_RD);
}

void Connection::shutDown() { ::shutdown(m_fd, SHUT_RDWR); }

Listener::Listener(const std::string& ip, int port, Handler handler)
    : m_address { ip, port }
    , m_handler(std::move(handler))
    , m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int one = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    auto address = toSockaddr(m_address);
    if (bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(m_fd, 256) != 0)
        throw std::runtime_error("can't listen on " + m_address.text());
    socklen_t size = sizeof(address);
    getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
    m_address.port = ntohs(address.sin_port);
    m_thread = std::thread([this] { accept(); });
}

Listener::~Listener() { close(false); }

void Listener::accept()
{
    while (!m_isClosed) {
        pollfd entry { m_fd, POLLIN, 0 };
        if (::poll(&entry, 1, 20) <= 0)
            continue;
        const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        auto connection = std::make_shared<Connection>(fd);
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_connections, [](const auto& it) { return it.expired(); });
        m_connections.push_back(connection);
        ++m_active;
        std::thread([this, connection]() mutable {
            m_handler(connection);
            connection.reset();
            const std::lock_guard lock(m_mutex);
            --m_active;
            m_done.notify_all();
        }).detach();
    }
}

std::size_t Listener::connections()
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(m_active);
}

void Listener::close(bool withReset)
{
    if (m_isClosed.exchange(true))
        return;
    if (m_thread.joinable())
        m_thread.join();
    ::close(m_fd);
    std::unique_lock lock(m_mutex);
    for (const auto& it : m_connections) {
        if (const auto connection = it.lock())
            withReset ? connection->reset() : connection->shutDown();
    }
    m_done.wait(lock, [this] { return m_active == 0; });
}

Store::Store(const std::string& ip)
    : m_listener(std::make_unique<Listener>(ip, 0, [this](const std::shared_ptr<Connection>& it) { serve(it); }))
{
}

Store::~Store()
{
    m_isClosed = true;
    m_changed.notify_all();
    m_listener->close(false);
}

std::string Store::toJson(const std::string& name, const Object& object)
{
    return "{\"meta\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(object.revision) + ",\"createdRev\":" + std::to_string(object.createdRev)
        + ",\"finalizers\":[],\"deletionPending\":false},\"spec\":" + object.spec + ",\"status\":null}";
}

void Store::set(const std::string& kind, const std::string& name, const std::string& spec)
{
    auto& objects = m_kinds[kind];
    const auto it = objects.find(name);
    if (it != objects.end() && it->second.spec == spec)
        return;
    auto& object = objects[name];
    object.spec = spec;
    object.revision = ++m_revision;
    if (object.createdRev == 0)
        object.createdRev = m_revision;
    m_events.push_back({ m_revision, kind, "{\"deleted\":false,\"object\":" + toJson(name, object) + "}" });
    m_changed.notify_all();
}

void Store::put(const std::string& kind, const std::string& name, const std::string& spec)
{
    const std::lock_guard lock(m_mutex);
    set(kind, name, spec);
}

void Store::remove(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    auto& objects = m_kinds[kind];
    const auto it = objects.find(name);
    if (it == objects.end())
        return;
    it->second.revision = ++m_revision;
    m_events.push_back({ m_revision, kind, "{\"deleted\":true,\"object\":" + toJson(name, it->second) + "}" });
    objects.erase(it);
    m_changed.notify_all();
}

void Store::serve(const std::shared_ptr<Connection>& connection)
{
    Message request;
    while (!m_isClosed && connection->read(request, 60)) {
        const auto [status, body] = respond(request);
        if (!connection->write(response(status, { { "Content-Type", "application/json" } }, body)))
            return;
    }
}

std::pair<int, std::string> Store::respond(const Message& request)
{
    const auto target = request.target();
    const auto mark = target.find('?');
    const auto path = target.substr(0, mark);
    auto query = parseQuery(mark == std::string::npos ? "" : target.substr(mark + 1));
    constexpr std::string_view root = "/objects/";
    if (!path.starts_with(root))
        return { 404, "{}" };
    auto kind = path.substr(root.size());
    std::string name;
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
        name = percentDecode(kind.substr(slash + 1));
        kind.resize(slash);
    }
    if (request.method() == "POST" || request.method() == "PUT")
        return write(kind, name, request, request.method() == "POST");
    if (request.method() != "GET")
        return { 404, "{}" };
    if (query.contains("watch"))
        return watch(kind, std::stoull(query["watch"]), std::atof(query["waitMs"].c_str()) / 1000);
    if (name.empty())
        return list(kind, query["after"]);
    const std::lock_guard lock(m_mutex);
    const auto& objects = m_kinds[kind];
    const auto it = objects.find(name);
    return it == objects.end() ? std::pair(404, std::string("{}")) : std::pair(200, toJson(name, it->second));
}

std::pair<int, std::string> Store::list(const std::string& kind, const std::string& after)
{
    const std::lock_guard lock(m_mutex);
    std::string items;
    for (const auto& [name, object] : m_kinds[kind]) {
        if (name > after)
            items += (items.empty() ? "" : ",") + toJson(name, object);
    }
    return { 200, "{\"items\":[" + items + "],\"hasMore\":false,\"atRev\":" + std::to_string(m_revision) + "}" };
}

std::pair<int, std::string> Store::watch(const std::string& kind, std::uint64_t from, double wait)
{
    std::unique_lock lock(m_mutex);
    const auto isNews = [&](const Event& it) { return it.revision > from && it.kind == kind; };
    m_changed.wait_for(lock, std::chrono::duration<double>(wait), [&] { return m_isClosed || std::any_of(m_events.begin(), m_events.end(), isNews); });
    std::string events;
    for (const auto& it : m_events) {
        if (isNews(it))
            events += (events.empty() ? "" : ",") + it.json;
    }
    return { 200, "{\"events\":[" + events + "],\"atRev\":" + std::to_string(m_revision) + "}" };
}

std::pair<int, std::string> Store::write(const std::string& kind, const std::string& nameInPath, const Message& request, bool isCreate)
{
    json::error_code ec;
    const auto parsed = json::parse(request.body, ec);
    if (ec || !parsed.is_object())
        return { 400, "{}" };
    const auto& body = parsed.as_object();
    const auto* meta = body.if_contains("meta");
    const auto* metaObject = meta ? meta->if_object() : nullptr;
    const auto* metaName = metaObject ? metaObject->if_contains("name") : nullptr;
    const auto name = isCreate && metaName ? std::string(metaName->as_string()) : nameInPath;
    const auto* revision = metaObject ? metaObject->if_contains("revision") : nullptr;
    const std::lock_guard lock(m_mutex);
    auto& objects = m_kinds[kind];
    const auto it = objects.find(name);
    if (isCreate && it != objects.end())
        return { 409, toJson(name, it->second) };
    if (!isCreate && it == objects.end())
        return { 404, "{}" };
    if (!isCreate && revision && revision->to_number<std::uint64_t>() != it->second.revision)
        return { 409, toJson(name, it->second) };
    const auto* spec = body.if_contains("spec");
    set(kind, name, spec ? json::serialize(*spec) : "null");
    return { 200, toJson(name, objects[name]) };
}

Server::Server(Store& store, ServerSettings settings, std::string id, const std::string& ip, int port, Hooks hooks)
    : m_store(store)
    , m_settings(std::move(settings))
    , m_id(std::move(id))
    , m_born(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()))
    , m_hooks(std::move(hooks))
    , m_listener(std::make_unique<Listener>(ip, port, [this](const std::shared_ptr<Connection>& it) { serve(it); }))
{
    m_address = m_listener->address();
    publish();
}

Server::~Server()
{
    stop();
    if (m_crashThread.joinable())
        m_crashThread.join();
}

void Server::publish()
{
    ++m_sequence;
    m_store.put("servers", m_id,
        "{\"service\":\"" + m_settings.service + "\",\"address\":\"" + m_address.text() + "\",\"zone\":\"" + m_settings.zone + "\",\"version\":\"v1\",\"slots\":"
            + std::to_string(m_settings.slots) + ",\"state\":\"" + m_state + "\",\"warmupLeftMs\":0,\"sequence\":" + std::to_string(m_sequence) + ",\"born\":" + std::to_string(m_born) + "}");
}

void Server::setState(const std::string& state)
{
    m_state = state;
    publish();
}

void Server::removeEntry() { m_store.remove("servers", m_id); }

void Server::crash()
{
    if (m_isDown.exchange(true))
        return;
    m_slotFree.notify_all();
    m_listener->close(true);
    if (m_hooks.onCrash)
        m_hooks.onCrash(*this);
}

void Server::stop()
{
    if (m_isDown.exchange(true))
        return;
    m_slotFree.notify_all();
    m_listener->close(false);
}

std::string Server::load()
{
    const std::lock_guard lock(m_mutex);
    return std::to_string(m_running) + "," + std::to_string(m_waiting.size()) + "," + std::to_string(m_settings.slots);
}

std::string Server::refusal(int status, const Message& request)
{
    if (m_hooks.onReject)
        m_hooks.onReject(*this, request, status);
    return response(status,
        { { "Lycheefield-Attempt-Id", request.header("Lycheefield-Attempt-Id") }, { "Lycheefield-Not-Executed", "1" }, { "Lycheefield-Instance-Id", m_id },
            { "Lycheefield-Server-Load", load() }, { "Keep-Alive", "timeout=15" } },
        "");
}

bool Server::takeSlot(const std::shared_ptr<Connection>& connection, double deadline, int& refusalStatus)
{
    std::unique_lock lock(m_mutex);
    if (m_running < m_settings.slots && m_waiting.empty()) {
        ++m_running;
        return true;
    }
    if (static_cast<int>(m_waiting.size()) >= m_settings.queue) {
        refusalStatus = 503;
        return false;
    }
    const auto ticket = ++m_lastTicket;
    m_waiting.push_back(ticket);
    while (!(m_waiting.front() == ticket && m_running < m_settings.slots)) {
        m_slotFree.wait_for(lock, std::chrono::milliseconds(20));
        const bool isGone = m_isDown || connection->isPeerGone();
        if (isGone || now() >= deadline) {
            std::erase(m_waiting, ticket);
            m_slotFree.notify_all();
            refusalStatus = isGone ? 0 : 503;
            return false;
        }
    }
    m_waiting.pop_front();
    ++m_running;
    m_slotFree.notify_all();
    return true;
}

void Server::releaseSlot()
{
    const std::lock_guard lock(m_mutex);
    --m_running;
    m_slotFree.notify_all();
}

bool Server::handle(const std::shared_ptr<Connection>& connection, const Message& request, std::string& answer)
{
    const auto arrivedAt = now();
    const auto attemptId = request.header("Lycheefield-Attempt-Id");
    if (m_hooks.onArrival)
        m_hooks.onArrival(*this, request);
    const auto target = request.header("Lycheefield-Target-Instance");
    if (!target.empty() && target != m_id) {
        answer = refusal(421, request);
        return true;
    }
    if (attemptId.empty()) {
        answer = refusal(400, request);
        return true;
    }
    const auto given = request.header("Lycheefield-Deadline-Ms");
    const auto deadline = given.empty() ? arrivedAt + 60 : arrivedAt + std::atof(given.c_str()) / 1000;
    int refusalStatus = 0;
    if (!takeSlot(connection, deadline, refusalStatus)) {
        if (refusalStatus == 0)
            return false;
        answer = refusal(refusalStatus, request);
        return true;
    }
    if (m_hooks.onRun && !m_hooks.onRun(*this, request)) {
        releaseSlot();
        if (!m_isCrashing.exchange(true))
            m_crashThread = std::thread([this] { crash(); });
        while (!m_isDown)
            sleepFor(0.001);
        return false;
    }
    const auto end = now() + m_settings.workMs * (0.65 + 0.7 * randomUnit()) / 1000;
    bool isDropped = false;
    while (now() < end && !isDropped) {
        sleepFor(std::min(0.01, std::max(0.0005, end - now())));
        isDropped = m_isDown || connection->isPeerGone();
    }
    releaseSlot();
    if (isDropped)
        return false;
    const auto body = m_hooks.body ? m_hooks.body(*this, request) : "done " + attemptId + "\n";
    answer = response(200,
        { { "Lycheefield-Attempt-Id", attemptId }, { "Lycheefield-Response-Stamp", stamp(m_id, attemptId) }, { "Lycheefield-Server-Load", load() }, { "Keep-Alive", "timeout=15" } }, body);
    return true;
}

namespace {

/// Writes the head of a chunked answer, and then zero bytes where the first chunk should begin, without end: until
/// the caller closes the connection.
void sendSpoiled(Connection& connection, const Message& request)
{
    constexpr int maxBlocks = 4096; // 256 MB; the caller has to close long before.
    constexpr std::size_t blockBytes = 64 * 1024;
    if (!connection.write("HTTP/1.1 200 OK\r\nLycheefield-Attempt-Id: " + request.header("Lycheefield-Attempt-Id") + "\r\nTransfer-Encoding: chunked\r\n\r\n"))
        return;
    const std::string block(blockBytes, '\0');
    for (int i = 0; i < maxBlocks && connection.write(block); ++i) { }
}

}

void Server::serve(const std::shared_ptr<Connection>& connection)
{
    // A server resets connections beyond its limit.
    if (static_cast<int>(m_listener->connections()) > m_settings.maxConns)
        return connection->reset();
    std::string extra;
    std::string extraId;
    std::string refusedId;
    Message request;
    while (!m_isDown && connection->read(request, serverIdleTimeout)) {
        if (!refusedId.empty() && refusedId == request.header("Lycheefield-Attempt-Id"))
            ++resentOnSameConnection;
        if (!extra.empty()) {
            // The late second copy, where the response to this request is expected.
            if (m_hooks.onExtra)
                m_hooks.onExtra(*this, extraId);
            if (!connection->write(std::exchange(extra, {})))
                return;
        }
        std::string answer;
        if (!handle(connection, request, answer)) {
            if (m_isDown)
                connection->reset();
            return;
        }
        if (m_hooks.spoils && m_hooks.spoils(*this, request)) {
            sendSpoiled(*connection, request);
            return;
        }
        if (!connection->write(answer))
            return;
        refusedId = answer.starts_with("HTTP/1.1 503") ? request.header("Lycheefield-Attempt-Id") : "";
        if (m_hooks.sendsExtra && m_hooks.sendsExtra(*this, request)) {
            extra = answer;
            extraId = request.header("Lycheefield-Attempt-Id");
        }
    }
    if (m_isDown)
        connection->reset();
}

Gateway::Gateway(const Store& store, std::string name, std::string zone, const std::string& ip, const std::string& folder, Bounds bounds)
    : m_name(std::move(name))
    , m_settingsPath(folder + "/" + m_name + ".ini")
    , m_logPath(folder + "/" + m_name + ".log")
    , m_front { ip, freePort(ip) }
    , m_ready { ip, freePort(ip) }
{
    std::ifstream in("deploy/gateway.ini");
    std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    if (text.empty())
        throw std::runtime_error("deploy/gateway.ini is missing");
    const std::vector<std::pair<std::string, std::string>> values { { "nodeName", m_name }, { "zone", zone }, { "portRange.0", std::to_string(freePort(ip)) },
        { "listenAddrs.front", m_front.text() }, { "platform.address", store.address().text() }, { "listenAddrs.readyAddr", m_ready.text() }, { "limits.cpuShare", "0.25" },
        { "bounds.configApplyMs", number(bounds.configApplyMs) }, { "bounds.drainMs", number(bounds.drainMs) }, { "heartbeatMs", "1200" }, { "bounds.graceS", number(bounds.graceS) },
        { "bounds.retryBudgetRatio", "0.2" }, { "bounds.retrySlack", number(bounds.retrySlack) }, { "bounds.budgetWindowS", "10" } };
    for (const auto& [key, value] : values)
        replaceAll(text, "{{" + key + "}}", value);
    std::ofstream(m_settingsPath) << text;
}

Gateway::~Gateway() { kill(); }

void Gateway::start()
{
    const auto variable = "LYCHEEFIELD_CONFIG=" + m_settingsPath;
    const int log = ::open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    const auto parent = getpid();
    m_pid = fork();
    if (m_pid != 0) {
        ::close(log);
        return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(1);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    const char* const arguments[] = { "target/lycheefield-gateway", nullptr };
    const char* const environment[] = { variable.c_str(), "PATH=/usr/bin:/bin", nullptr };
    execve(arguments[0], const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
    _exit(127);
}

void Gateway::signal(int number)
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void Gateway::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

bool Gateway::isRunning()
{
    if (m_pid <= 0)
        return false;
    if (waitpid(m_pid, nullptr, WNOHANG) == 0)
        return true;
    m_pid = -1;
    return false;
}

bool Gateway::isReady()
{
    const auto connection = Connection::open(m_ready, 1);
    Message answer;
    return connection && connection->write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") && connection->read(answer, 1) && answer.status() == 200;
}

bool Gateway::waitReady(double seconds)
{
    const auto until = now() + seconds;
    while (now() < until) {
        if (isReady())
            return true;
        sleepFor(0.05);
    }
    return false;
}

Answer Caller::call(const std::string& method, const std::string& path, const std::string& host, const std::string& attemptId, int deadlineMs, const std::string& body)
{
    std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nLycheefield-Attempt-Id: " + attemptId + "\r\nLycheefield-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (method != "GET")
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    request += "\r\n" + body;
    const auto deadline = now() + deadlineMs / 1000.0;
    const auto until = deadline + clientGrace;
    if (!m_connection || m_connection->isPeerGone()) {
        m_connection = Connection::open(m_gateway, 1);
        m_isKept = false;
    }
    Answer answer;
    answer.wasKept = std::exchange(m_isKept, true);
    if (!m_connection || !m_connection->write(request) || !m_connection->read(answer.message, until - now())) {
        answer.wasCut = m_connection && now() < deadline;
        m_connection.reset();
        return answer;
    }
    answer.status = answer.message.status();
    if (strcasecmp(answer.message.header("Connection").c_str(), "close") == 0)
        m_connection.reset();
    return answer;
}

}
