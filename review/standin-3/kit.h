/// Stand-ins for the scripts of this review: the platform's store, backend servers, callers, and the start of gateways. The stand-ins are
/// threads of one process; each gateway is a process of its own, started with the command of the deploy file.
#pragma once

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin {

namespace json = boost::json;

/// Seconds since the first call, on the steady clock.
inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepUntil(double time)
{
    const auto left = time - now();
    if (left > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(left));
}

/// Returns whether the condition became true within the time.
inline bool waitFor(double seconds, const std::function<bool()>& condition)
{
    const auto end = now() + seconds;
    while (!condition()) {
        if (now() > end)
            return false;
        sleepUntil(now() + 0.01);
    }
    return true;
}

/// record.txt; each line begins with the time in seconds.
class Record {
public:
    explicit Record(const std::string& path)
        : m_out(path)
    {
    }
    void add(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", now());
        m_out << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

inline sockaddr_in addressOf(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Returns a listening socket, or -1. A port of 0 is set to the one that the kernel chose.
inline int listenOn(const std::string& ip, int& port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(fd, 256) != 0) {
        close(fd);
        return -1;
    }
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

inline int freePort(const std::string& ip)
{
    int port = 0;
    close(listenOn(ip, port));
    return port;
}

inline int connectTo(const std::string& ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool sendAll(int fd, const std::string& data)
{
    for (std::size_t at = 0; at < data.size();) {
        const auto n = send(fd, data.data() + at, data.size() - at, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        at += static_cast<std::size_t>(n);
    }
    return true;
}

inline void closeWithReset(int fd)
{
    const linger abort { 1, 0 };
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    close(fd);
}

/// An HTTP message with a Content-Length.
struct Message {
    std::string first; ///< The request line or the status line.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const auto from = first.find(' ') + 1;
        return first.substr(from, first.find(' ', from) - from);
    }
    int status() const { return first.size() > 9 ? std::atoi(first.c_str() + 9) : 0; }
};

/// Reads one message; empty when the connection ends first or nothing arrives for so many seconds. `buffer` keeps bytes of the next one.
inline std::optional<Message> readMessage(int fd, std::string& buffer, double seconds)
{
    const auto end = now() + seconds;
    const auto readMore = [&] {
        pollfd ready { fd, POLLIN, 0 };
        const auto ms = static_cast<int>(std::max(0.0, (end - now()) * 1000));
        if (poll(&ready, 1, ms) <= 0)
            return false;
        char chunk[16384];
        const auto n = recv(fd, chunk, sizeof(chunk), 0);
        if (n > 0)
            buffer.append(chunk, static_cast<std::size_t>(n));
        return n > 0;
    };
    auto headEnd = buffer.find("\r\n\r\n");
    for (; headEnd == std::string::npos; headEnd = buffer.find("\r\n\r\n")) {
        if (!readMore())
            return std::nullopt;
    }
    Message message;
    std::istringstream head(buffer.substr(0, headEnd));
    std::getline(head, message.first);
    if (!message.first.empty() && message.first.back() == '\r')
        message.first.pop_back();
    for (std::string line; std::getline(head, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        const auto from = colon == std::string::npos ? colon : line.find_first_not_of(' ', colon + 1);
        if (colon != std::string::npos)
            message.headers.emplace_back(line.substr(0, colon), from == std::string::npos ? "" : line.substr(from));
    }
    const auto length = message.header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoull(length);
    while (buffer.size() < headEnd + 4 + size) {
        if (!readMore())
            return std::nullopt;
    }
    message.body = buffer.substr(headEnd + 4, size);
    buffer.erase(0, headEnd + 4 + size);
    return message;
}

inline std::string responseText(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and runs a function with each in a thread of its own. stop() and pause() reset the open connections.
class Listener {
public:
    using Serve = std::function<void(int fd)>;

    Listener(std::string ip, Serve serve)
        : m_ip(std::move(ip))
        , m_serve(std::move(serve))
    {
    }
    ~Listener() { close(); }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    /// Opens the port, the same one each time. Returns whether that worked.
    bool open()
    {
        m_fd = listenOn(m_ip, m_port);
        if (m_fd < 0)
            return false;
        m_isOpen = true;
        m_thread = std::thread([this] { acceptAll(); });
        return true;
    }
    /// Closes the port and resets all connections.
    void close()
    {
        if (!m_isOpen.exchange(false))
            return;
        shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        ::close(m_fd);
        {
            const std::lock_guard lock(m_mutex);
            for (const int fd : m_connections) {
                const linger abort { 1, 0 };
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
                shutdown(fd, SHUT_RDWR);
            }
        }
        waitFor(5, [this] {
            const std::lock_guard lock(m_mutex);
            return m_connections.empty();
        });
    }
    int port() const { return m_port; }
    bool isOpen() const { return m_isOpen; }
    std::string endpoint() const { return m_ip + ":" + std::to_string(m_port); }

private:
    void acceptAll()
    {
        while (m_isOpen) {
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            const std::lock_guard lock(m_mutex);
            m_connections.insert(fd);
            std::thread([this, fd] {
                m_serve(fd);
                const std::lock_guard lock(m_mutex);
                m_connections.erase(fd);
                ::close(fd);
            }).detach();
        }
    }

    std::string m_ip;
    Serve m_serve;
    int m_fd = -1;
    int m_port = 0;
    std::atomic<bool> m_isOpen { false };
    std::thread m_thread;
    std::mutex m_mutex;
    std::set<int> m_connections;
};

/// The platform's metadata store, as PROTOCOL.md describes it, with the header Store-Era and the return from a copy.
class Store {
public:
    /// A way to the store: an address of its own, so that the store can turn away who uses it.
    struct Door {
        std::unique_ptr<Listener> listener;
        std::atomic<bool> isBusy { false }; ///< Every call gets 503.
        std::atomic<std::size_t> calls { 0 };
        std::atomic<std::size_t> longWatches { 0 }; ///< Watches that may wait for half a second or longer.
    };

    explicit Store(std::size_t doors = 1)
    {
        for (std::size_t i = 0; i < doors; ++i) {
            auto& door = *m_doors.emplace_back(std::make_unique<Door>());
            door.listener = std::make_unique<Listener>("127.0.0.1", [this, &door](int fd) { serve(door, fd); });
            door.listener->open();
        }
    }

    std::string endpoint(std::size_t n = 0) const { return m_doors[n]->listener->endpoint(); }
    Door& door(std::size_t n) { return *m_doors[n]; }
    /// Writes as the operator or a server does, and returns the time of the acknowledgement.
    double put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::lock_guard lock(m_mutex);
        set(kind, name, json::parse(spec));
        return now();
    }
    double remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        erase(kind, name);
        return now();
    }
    void saveCopy()
    {
        const std::lock_guard lock(m_mutex);
        m_copy = m_state;
    }
    /// The store is away: its port is closed and its connections are reset.
    void goAway()
    {
        for (auto& it : m_doors)
            it->listener->close();
    }
    /// It is back from the copy, in the next era.
    void comeBackFromCopy()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_state = m_copy;
            ++m_era;
        }
        comeBack();
    }
    void comeBack()
    {
        for (auto& it : m_doors)
            it->listener->open();
    }

private:
    struct Object {
        json::value spec;
        json::value status;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Event {
        std::string kind;
        std::string name;
        Object object;
        bool isDeleted = false;
    };
    struct State {
        std::map<std::string, std::map<std::string, Object>> objects;
        std::vector<Event> events;
        std::uint64_t revision = 1;
    };

    /// Precondition for the next three: the mutex is held.
    void set(const std::string& kind, const std::string& name, json::value spec)
    {
        auto& object = m_state.objects[kind][name];
        if (object.revision != 0 && object.spec == spec)
            return;
        object.spec = std::move(spec);
        object.revision = ++m_state.revision;
        object.created = object.created == 0 ? object.revision : object.created;
        m_state.events.push_back({ kind, name, object, false });
        m_changed.notify_all();
    }
    void erase(const std::string& kind, const std::string& name)
    {
        auto& objects = m_state.objects[kind];
        const auto it = objects.find(name);
        if (it == objects.end())
            return;
        auto object = it->second;
        object.revision = ++m_state.revision;
        objects.erase(it);
        m_state.events.push_back({ kind, name, object, true });
        m_changed.notify_all();
    }
    static json::object toJson(const std::string& name, const Object& object)
    {
        return { { "meta", json::object { { "name", name }, { "revision", object.revision }, { "createdRev", object.created }, { "finalizers", json::array() }, { "deletionPending", false } } }, { "spec", object.spec }, { "status", object.status } };
    }

    void serve(Door& door, int fd)
    {
        std::string buffer;
        while (const auto request = readMessage(fd, buffer, 3600)) {
            ++door.calls;
            const auto wait = request->target().find("&waitMs=");
            if (wait != std::string::npos && std::atoi(request->target().c_str() + wait + 8) >= 500)
                ++door.longWatches;
            const auto [status, body] = door.isBusy ? std::pair<int, json::value>(503, json::object()) : answer(*request);
            if (!door.listener->isOpen() || !sendAll(fd, responseText(status, "Content-Type: application/json\r\nStore-Era: " + std::to_string(m_era) + "\r\n", json::serialize(body))))
                return;
        }
    }
    std::pair<int, json::value> answer(const Message& request)
    {
        const auto target = request.target();
        const auto question = target.find('?');
        const auto path = target.substr(0, question);
        std::map<std::string, std::string> query;
        std::istringstream pairs(question == std::string::npos ? "" : target.substr(question + 1));
        for (std::string it; std::getline(pairs, it, '&');)
            query[it.substr(0, it.find('='))] = it.substr(it.find('=') + 1);
        const std::string root = "/objects/";
        if (!path.starts_with(root))
            return { 404, json::object() };
        const auto rest = path.substr(root.size());
        const auto slash = rest.find('/');
        const auto kind = rest.substr(0, slash);
        const auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        if (request.method() == "GET" && query.contains("watch"))
            return watch(lock, kind, std::stoull(query["watch"]), std::stoi(query["waitMs"]));
        if (request.method() == "GET")
            return read(kind, name, query["after"]);
        return write(request, kind, name);
    }
    std::pair<int, json::value> watch(std::unique_lock<std::mutex>& lock, const std::string& kind, std::uint64_t after, int waitMs)
    {
        if (after > m_state.revision)
            return { 410, json::object() };
        const auto hasEvents = [&] { return std::any_of(m_state.events.begin(), m_state.events.end(), [&](const Event& it) { return it.kind == kind && it.object.revision > after; }); };
        m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), hasEvents);
        json::array events;
        for (const auto& it : m_state.events) {
            if (it.kind == kind && it.object.revision > after)
                events.push_back(json::object { { "object", toJson(it.name, it.object) }, { "deleted", it.isDeleted } });
        }
        return { 200, json::object { { "events", events }, { "atRev", m_state.revision } } };
    }
    std::pair<int, json::value> read(const std::string& kind, const std::string& name, const std::string& after)
    {
        const auto& objects = m_state.objects[kind];
        if (!name.empty()) {
            const auto it = objects.find(name);
            return it == objects.end() ? std::pair<int, json::value>(404, json::object()) : std::pair<int, json::value>(200, toJson(name, it->second));
        }
        json::array items;
        for (auto it = objects.upper_bound(after); it != objects.end(); ++it)
            items.push_back(toJson(it->first, it->second));
        return { 200, json::object { { "items", items }, { "hasMore", false }, { "atRev", m_state.revision } } };
    }
    std::pair<int, json::value> write(const Message& request, const std::string& kind, std::string name)
    {
        const auto body = json::parse(request.body).as_object();
        const auto& meta = body.at("meta").as_object();
        auto& objects = m_state.objects[kind];
        if (request.method() == "POST")
            name = meta.at("name").as_string().c_str();
        const auto it = objects.find(name);
        const bool isOther = it != objects.end() && meta.contains("revision") && meta.at("revision").to_number<std::uint64_t>() != it->second.revision;
        if (it != objects.end() && (request.method() == "POST" || isOther))
            return { 409, toJson(name, it->second) };
        if (it == objects.end() && request.method() == "PUT")
            return { 404, json::object() };
        set(kind, name, body.at("spec"));
        return { 200, toJson(name, objects[name]) };
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    State m_state;
    State m_copy;
    std::atomic<std::uint64_t> m_era { 1 };
    std::vector<std::unique_ptr<Door>> m_doors;
};

/// A request that a server has begun to work on.
struct Run {
    std::string attempt;
    std::string tenant;
    std::string server;
    double at = 0;
};

/// A backend server: one thread a connection, no limit on slots.
class Server {
public:
    using Handler = std::function<void(int fd, const Message&)>; ///< Answers a request on the connection.

    Server(std::string id, std::string service, std::string zone, std::string ip)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , m_listener(std::move(ip), [this](int fd) { serve(fd); })
    {
        m_listener.open();
    }
    const std::string& id() const { return m_id; }
    std::string nextEntry()
    {
        const json::object entry { { "service", m_service }, { "address", m_listener.endpoint() }, { "zone", m_zone }, { "version", "v1" }, { "slots", 4 }, { "state", "ready" }, { "warmupLeftMs", 0 }, { "sequence", ++m_sequence }, { "born", m_born } };
        return json::serialize(entry);
    }
    /// Replaces the answer that every request gets.
    void setHandler(Handler handler) { m_handler = std::move(handler); }
    std::vector<Run> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    void note(const Message& request)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({ request.header("Lycheefield-Attempt-Id"), request.header("Lycheefield-Tenant"), m_id, now() });
    }
    std::string successText(const Message& request, const std::string& body = "0123456789abcdef") const
    {
        const auto attempt = request.header("Lycheefield-Attempt-Id");
        return responseText(200, "Lycheefield-Attempt-Id: " + attempt + "\r\nLycheefield-Response-Stamp: " + m_id + "." + attempt + "\r\nKeep-Alive: timeout=5\r\n", body);
    }

private:
    void serve(int fd)
    {
        std::string buffer;
        while (const auto request = readMessage(fd, buffer, 5)) {
            if (request->header("Lycheefield-Target-Instance") != m_id) {
                if (!sendAll(fd, responseText(421, "Lycheefield-Instance-Id: " + m_id + "\r\n", "")))
                    return;
                continue;
            }
            note(*request);
            if (m_handler)
                m_handler(fd, *request);
            else if (!sendAll(fd, successText(*request)))
                return;
        }
    }

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::int64_t m_born;
    std::uint64_t m_sequence = 0;
    Handler m_handler;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    Listener m_listener;
};

/// A gateway process, with the settings that deploy/gateway.ini gets on a small deployment. It is started in the repository's root.
class Gateway {
public:
    Gateway(const std::string& name, const std::string& zone, const std::string& ip, const std::string& store, const std::string& folder, const std::map<std::string, std::string>& changed = {})
        : m_name(name)
        , m_ip(ip)
        , m_path(folder + "/" + name)
        , m_front(freePort(ip))
        , m_ready(freePort(ip))
    {
        std::map<std::string, std::string> values { { "nodeName", name }, { "zone", zone }, { "portRange.0", std::to_string(freePort(ip)) }, { "listenAddrs.front", ip + ":" + std::to_string(m_front) },
            { "listenAddrs.readyAddr", ip + ":" + std::to_string(m_ready) }, { "platform.address", store }, { "limits.cpuShare", "0.5" }, { "heartbeatMs", "1200" }, { "bounds.configApplyMs", "5000" }, { "bounds.drainMs", "5000" },
            { "bounds.evacuateMs", "5000" }, { "bounds.graceS", "6" }, { "bounds.retryBudgetRatio", "0.2" }, { "bounds.retrySlack", "58" }, { "bounds.budgetWindowS", "10" }, { "bounds.warmupOvershoot", "1.5" }, { "bounds.warmupSlack", "5" },
            { "bounds.strictRevoke", "true" }, { "bounds.revokeMs", "5000" }, { "bounds.quotaWindowS", "5" }, { "bounds.quotaOvershoot", "0.1" }, { "bounds.quotaSlack", "20" } };
        for (const auto& [key, value] : changed)
            values[key] = value;
        std::ifstream in("deploy/gateway.ini");
        std::ofstream out(m_path + ".ini");
        for (std::string line; std::getline(in, line);) {
            for (auto at = line.find("{{"); at != std::string::npos; at = line.find("{{")) {
                const auto end = line.find("}}", at);
                const auto it = values.find(line.substr(at + 2, end - at - 2));
                line.replace(at, end + 2 - at, it == values.end() ? "" : it->second);
            }
            out << line << '\n';
        }
    }
    ~Gateway() { kill(); }
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    void start()
    {
        const auto settings = "LYCHEEFIELD_CONFIG=" + m_path + ".ini";
        const auto log = m_path + ".log";
        m_pid = fork();
        if (m_pid > 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        close_range(STDERR_FILENO + 1, ~0U, 0);
        const char* arguments[] = { "target/lycheefield-gateway", nullptr };
        const char* environment[] = { settings.c_str(), "PATH=/usr/bin:/bin", nullptr };
        execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
        _exit(127);
    }
    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    void kill()
    {
        if (m_pid <= 0)
            return;
        signal(SIGCONT);
        signal(SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
    /// Whether the process has ended by itself.
    bool hasEnded()
    {
        if (m_pid <= 0 || waitpid(m_pid, nullptr, WNOHANG) != m_pid)
            return m_pid <= 0;
        m_pid = 0;
        return true;
    }
    bool isReady() const
    {
        const int fd = connectTo(m_ip, m_ready);
        if (fd < 0)
            return false;
        std::string buffer;
        sendAll(fd, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        const auto response = readMessage(fd, buffer, 1);
        ::close(fd);
        return response && response->status() == 200;
    }
    const std::string& name() const { return m_name; }
    const std::string& ip() const { return m_ip; }
    int front() const { return m_front; }
    std::string log() const
    {
        std::ifstream in(m_path + ".log");
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

private:
    std::string m_name;
    std::string m_ip;
    std::string m_path;
    int m_front;
    int m_ready;
    pid_t m_pid = 0;
};

/// Sends a request on a new connection. Returns the response; empty when none came within the time.
inline std::optional<Message> call(const Gateway& gateway, const std::string& request, double seconds)
{
    const int fd = connectTo(gateway.ip(), gateway.front());
    if (fd < 0)
        return std::nullopt;
    std::string buffer;
    std::optional<Message> response;
    if (sendAll(fd, request))
        response = readMessage(fd, buffer, seconds);
    close(fd);
    return response;
}

}
