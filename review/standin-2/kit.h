/// Stand-ins for the review's scripts: the platform's store, backend servers, clients and the starting of gateways. All of them
/// run as threads of one process; the gateways are processes of their own. Header only.
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

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

namespace json = boost::json;
using Lock = std::unique_lock<std::mutex>;

/// Seconds since the start of the program on the steady clock.
inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void sleepUntil(double time) { sleepFor(time - now()); }

/// The lines of record.txt, with the time in seconds.
class Record {
public:
    explicit Record(const std::string& path)
        : m_out(path)
    {
    }
    void line(const std::string& text, bool isShown = false)
    {
        const Lock lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.4f ", now());
        m_out << time << text << std::endl;
        if (isShown)
            std::cout << time << text << std::endl;
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

/// Listens on the port, or on a free one for 0, and sets `port`. Returns the socket, or -1.
inline int listenOn(const std::string& ip, int& port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    socklen_t n = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
    port = ntohs(address.sin_port);
    return fd;
}

/// Returns so many different free ports.
inline std::vector<int> freePorts(const std::string& ip, std::size_t n)
{
    std::vector<int> ports(n, 0);
    std::vector<int> sockets;
    for (auto& it : ports)
        sockets.push_back(listenOn(ip, it));
    for (const int it : sockets)
        close(it);
    return ports;
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

/// Closes the connection with a reset.
inline void resetAndClose(int fd)
{
    const linger abort { 1, 0 };
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    close(fd);
}

inline bool sendAll(int fd, const std::string& data)
{
    std::size_t at = 0;
    while (at < data.size()) {
        const auto n = send(fd, data.data() + at, data.size() - at, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        at += static_cast<std::size_t>(n);
    }
    return true;
}

struct Message {
    std::string first; ///< The request line or status line.
    std::string method;
    std::string target;
    int status = 0;
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
};

/// Reads messages with a Content-Length, or without a body.
class Reader {
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }
    /// Returns false at the end of the connection, and at the deadline (a time of now()), if there is one.
    bool read(Message& out, double deadline = 0)
    {
        out = {};
        std::size_t end = std::string::npos;
        while ((end = m_buf.find("\r\n\r\n")) == std::string::npos) {
            if (!more(deadline))
                return false;
        }
        std::istringstream head(m_buf.substr(0, end + 2));
        m_buf.erase(0, end + 4);
        std::getline(head, out.first);
        if (!out.first.empty() && out.first.back() == '\r')
            out.first.pop_back();
        std::istringstream first(out.first);
        if (out.first.rfind("HTTP/", 0) == 0) {
            std::string version;
            first >> version >> out.status;
        } else {
            first >> out.method >> out.target;
        }
        for (std::string line; std::getline(head, line);) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
            out.headers.emplace_back(line.substr(0, colon), value);
        }
        const auto length = static_cast<std::size_t>(std::atoll(out.header("Content-Length").c_str()));
        while (m_buf.size() < length) {
            if (!more(deadline))
                return false;
        }
        out.body = m_buf.substr(0, length);
        m_buf.erase(0, length);
        return true;
    }
    const std::string& rest() const { return m_buf; }

private:
    bool more(double deadline)
    {
        if (deadline > 0) {
            pollfd p { m_fd, POLLIN, 0 };
            const auto ms = static_cast<int>(std::max(0.0, (deadline - now()) * 1000));
            if (poll(&p, 1, ms) <= 0)
                return false;
        }
        char buf[65536];
        const auto n = recv(m_fd, buf, sizeof(buf), 0);
        if (n <= 0)
            return false;
        m_buf.append(buf, static_cast<std::size_t>(n));
        return true;
    }
    int m_fd;
    std::string m_buf;
};

/// Accepts connections and runs the handler for each one in a thread of its own. The handler closes the socket.
class Listener {
public:
    Listener(const std::string& ip, int port, std::function<void(int)> handler)
        : m_port(port)
        , m_fd(listenOn(ip, m_port))
        , m_handler(std::move(handler))
    {
        if (m_fd >= 0)
            std::thread([this] { run(); }).detach();
    }
    int port() const { return m_port; }
    /// Refuses connections from now on.
    void stop()
    {
        m_isStopped = true;
        shutdown(m_fd, SHUT_RDWR);
    }

private:
    void run()
    {
        while (!m_isStopped) {
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, fd] { m_handler(fd); }).detach();
        }
    }
    int m_port;
    int m_fd;
    std::atomic<bool> m_isStopped { false };
    std::function<void(int)> m_handler;
};

/// The platform's store: objects by kind and name, lists, watches, conditional writes, and an operator's writes. Each gateway has an
/// address of its own, at which the store can turn it away.
class Store {
public:
    enum Mode { Serves,
        Busy,
        Resets };

    /// Returns the port for one caller.
    int open(std::shared_ptr<std::atomic<int>> mode, std::function<void(const std::string& method, const std::string& target)> onCall = {})
    {
        m_listeners.push_back(std::make_unique<Listener>("127.0.0.1", 0, [this, mode, onCall](int fd) { serve(fd, *mode, onCall); }));
        return m_listeners.back()->port();
    }

    /// A write of the operator or of a server. Returns the revision, whose answer is the acknowledgement.
    std::uint64_t put(const std::string& kind, const std::string& name, const json::value& spec)
    {
        const Lock lock(m_mutex);
        auto& object = m_objects[kind][name];
        object.spec = spec;
        return change(kind, name, object, false);
    }
    void remove(const std::string& kind, const std::string& name)
    {
        const Lock lock(m_mutex);
        auto node = m_objects[kind].extract(name);
        if (node)
            change(kind, name, node.mapped(), true);
    }
    /// Keeps a copy of all objects for restore().
    void keepCopy()
    {
        const Lock lock(m_mutex);
        m_copy = m_objects;
        m_copyRevision = m_revision;
    }
    /// Comes back from the copy: what was written since is gone, revisions go back, and the era rises.
    void restore()
    {
        const Lock lock(m_mutex);
        m_objects = m_copy;
        m_revision = m_copyRevision;
        std::erase_if(m_events, [this](const Event& it) { return it.revision > m_revision; });
        ++m_era;
    }
    bool has(const std::string& kind, const std::string& name)
    {
        const Lock lock(m_mutex);
        return m_objects[kind].count(name) > 0;
    }
    std::size_t count(const std::string& kind)
    {
        const Lock lock(m_mutex);
        return m_objects[kind].size();
    }

private:
    struct Object {
        json::value spec;
        json::value status;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Event {
        std::uint64_t revision;
        std::string kind;
        json::value value;
    };

    static json::value textOf(const std::string& name, const Object& object)
    {
        return json::object { { "meta", json::object { { "name", name }, { "revision", object.revision }, { "createdRev", object.created }, { "finalizers", json::array() }, { "deletionPending", false } } },
            { "spec", object.spec }, { "status", object.status } };
    }

    std::uint64_t change(const std::string& kind, const std::string& name, Object& object, bool isDeleted)
    {
        object.revision = ++m_revision;
        if (object.created == 0)
            object.created = m_revision;
        m_events.push_back({ m_revision, kind, json::object { { "deleted", isDeleted }, { "object", textOf(name, object) } } });
        m_changed.notify_all();
        return m_revision;
    }

    static std::string decoded(const std::string& text)
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

    void serve(int fd, const std::atomic<int>& mode, const std::function<void(const std::string&, const std::string&)>& onCall)
    {
        Reader reader(fd);
        Message request;
        while (reader.read(request)) {
            if (onCall)
                onCall(request.method, request.target);
            if (mode == Resets)
                return resetAndClose(fd);
            auto [status, body] = mode == Busy ? std::pair<int, json::value>(503, json::object()) : handle(request, mode);
            if (mode == Resets)
                return resetAndClose(fd);
            sleepFor(0.004);
            const auto text = json::serialize(body);
            std::string out = "HTTP/1.1 " + std::to_string(status) + " x\r\nStore-Era: " + std::to_string(m_era) + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
            if (!sendAll(fd, out))
                break;
        }
        close(fd);
    }

    std::pair<int, json::value> handle(const Message& request, const std::atomic<int>& mode)
    {
        const auto mark = request.target.find('?');
        auto path = request.target.substr(0, mark);
        std::map<std::string, std::string> query;
        if (mark != std::string::npos) {
            std::istringstream parts(request.target.substr(mark + 1));
            for (std::string part; std::getline(parts, part, '&');) {
                const auto equals = part.find('=');
                query[part.substr(0, equals)] = equals == std::string::npos ? "" : decoded(part.substr(equals + 1));
            }
        }
        const std::string root = "/objects/";
        if (path.rfind(root, 0) != 0)
            return { 404, json::object() };
        path = path.substr(root.size());
        const auto slash = path.find('/');
        const auto kind = decoded(path.substr(0, slash));
        const auto name = slash == std::string::npos ? std::string() : decoded(path.substr(slash + 1));
        if (request.method == "GET" && query.count("watch"))
            return watch(kind, std::stoull(query["watch"]), std::stoi(query["waitMs"].empty() ? "0" : query["waitMs"]), mode);
        const Lock lock(m_mutex);
        auto& objects = m_objects[kind];
        if (request.method == "GET" && name.empty()) {
            json::array items;
            bool hasMore = false;
            for (const auto& [key, object] : objects) {
                if (key <= query["after"] && query.count("after"))
                    continue;
                if (items.size() >= 500) {
                    hasMore = true;
                    break;
                }
                items.push_back(textOf(key, object));
            }
            return { 200, json::object { { "items", std::move(items) }, { "hasMore", hasMore }, { "atRev", m_revision } } };
        }
        if (request.method == "GET") {
            const auto it = objects.find(name);
            return it == objects.end() ? std::pair<int, json::value>(404, json::object()) : std::pair<int, json::value>(200, textOf(name, it->second));
        }
        const auto parsed = json::parse(request.body.empty() ? "{}" : request.body);
        const auto* meta = parsed.as_object().if_contains("meta");
        const auto* revision = meta && meta->is_object() ? meta->as_object().if_contains("revision") : nullptr;
        if (request.method == "POST") {
            const std::string created(meta->as_object().at("name").as_string());
            if (const auto it = objects.find(created); it != objects.end())
                return { 409, textOf(created, it->second) };
            auto& object = objects[created];
            object.spec = parsed.as_object().at("spec");
            change(kind, created, object, false);
            return { 200, textOf(created, object) };
        }
        const auto it = objects.find(name);
        if (it == objects.end())
            return { 404, json::object() };
        if (revision && revision->is_number() && revision->to_number<std::uint64_t>() != it->second.revision)
            return { 409, textOf(name, it->second) };
        if (request.method == "PUT") {
            if (it->second.spec != parsed.as_object().at("spec")) {
                it->second.spec = parsed.as_object().at("spec");
                change(kind, name, it->second, false);
            }
            return { 200, textOf(name, it->second) };
        }
        auto removed = objects.extract(it);
        change(kind, name, removed.mapped(), true);
        return { 200, textOf(name, removed.mapped()) };
    }

    std::pair<int, json::value> watch(const std::string& kind, std::uint64_t after, int waitMs, const std::atomic<int>& mode)
    {
        Lock lock(m_mutex);
        if (after > m_revision)
            return { 410, json::object() };
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
        while (true) {
            json::array events;
            for (const auto& it : m_events) {
                if (it.revision > after && it.kind == kind)
                    events.push_back(it.value);
            }
            if (!events.empty() || std::chrono::steady_clock::now() >= end || mode != Serves)
                return { 200, json::object { { "events", std::move(events) }, { "atRev", m_revision } } };
            m_changed.wait_until(lock, std::min(end, std::chrono::steady_clock::now() + std::chrono::milliseconds(50)));
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 100;
    std::atomic<std::uint64_t> m_era { 1 };
    std::uint64_t m_copyRevision = 0;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::map<std::string, std::map<std::string, Object>> m_copy;
    std::vector<Event> m_events;
    std::vector<std::unique_ptr<Listener>> m_listeners;
};

/// A program that runs as a child process, and ends with this one. Its output goes to a file. Started by the main thread only, as the
/// kernel ends the child with the thread that started it.
class Process {
public:
    Process(const std::string& program, const std::map<std::string, std::string>& variables, const std::string& output)
    {
        m_pid = fork();
        if (m_pid != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int fd = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, 1);
        dup2(fd, 2);
        std::vector<std::string> texts;
        for (const auto& [name, value] : variables)
            texts.push_back(name + "=" + value);
        if (const char* path = getenv("PATH"))
            texts.push_back(std::string("PATH=") + path);
        std::vector<char*> environment;
        for (auto& it : texts)
            environment.push_back(it.data());
        environment.push_back(nullptr);
        char* arguments[] = { const_cast<char*>(program.c_str()), nullptr };
        execve(program.c_str(), arguments, environment.data());
        _exit(127);
    }
    ~Process() { end(SIGKILL); }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    pid_t pid() const { return m_pid; }
    void signal(int number) const
    {
        if (m_pid > 0)
            kill(m_pid, number);
    }
    /// Sends the signal and waits for the end.
    void end(int number)
    {
        if (m_pid <= 0)
            return;
        kill(m_pid, SIGCONT);
        kill(m_pid, number);
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
    /// Returns the wait status if the process has ended.
    std::optional<int> ended()
    {
        int status = 0;
        if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid)
            return std::nullopt;
        m_pid = -1;
        return status;
    }

private:
    pid_t m_pid = -1;
};

inline std::string fileText(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

/// Fills in the template of the settings as the platform does: values, and sections that are there if their value is.
inline std::string render(std::string text, const std::map<std::string, std::string>& values)
{
    for (std::size_t at = 0; (at = text.find("{{#", at)) != std::string::npos;) {
        const auto close = text.find("}}", at);
        const auto name = text.substr(at + 3, close - at - 3);
        const auto endTag = "{{/" + name + "}}";
        const auto end = text.find(endTag, close);
        const auto inner = values.count(name) ? text.substr(close + 2, end - close - 2) : std::string();
        text.replace(at, end + endTag.size() - at, inner);
    }
    for (std::size_t at = 0; (at = text.find("{{", at)) != std::string::npos;) {
        const auto close = text.find("}}", at);
        const auto it = values.find(text.substr(at + 2, close - at - 2));
        text.replace(at, close + 2 - at, it == values.end() ? std::string() : it->second);
    }
    return text;
}

/// The repository's root, from which the deploy file's program is started.
inline std::string root() { return getenv("REVIEW_ROOT") ? getenv("REVIEW_ROOT") : "."; }

/// A gateway process with the settings that the platform would give it.
struct Gateway {
    std::string name;
    std::string zone;
    std::string ip;
    int front = 0;
    int ready = 0;
    int inner = 0;
    int storePort = 0;
    std::shared_ptr<std::atomic<int>> storeMode = std::make_shared<std::atomic<int>>(Store::Serves);
    std::unique_ptr<Process> process;

    void assignPorts()
    {
        const auto ports = freePorts(ip, 3);
        front = ports[0];
        ready = ports[1];
        inner = ports[2];
    }
    void start(const std::string& folder, std::map<std::string, std::string> values)
    {
        values["nodeName"] = name;
        values["zone"] = zone;
        values["portRange.0"] = std::to_string(inner);
        values["listenAddrs.front"] = ip + ":" + std::to_string(front);
        values["listenAddrs.readyAddr"] = ip + ":" + std::to_string(ready);
        values["platform.address"] = "127.0.0.1:" + std::to_string(storePort);
        const auto settings = folder + "/" + name + ".ini";
        std::ofstream(settings) << render(fileText(root() + "/deploy/gateway.ini"), values);
        process = std::make_unique<Process>(root() + "/target/lycheefield-gateway", std::map<std::string, std::string> { { "LYCHEEFIELD_CONFIG", settings } }, folder + "/" + name + ".log");
    }
    bool isReady() const
    {
        const int fd = connectTo(ip, ready);
        if (fd < 0)
            return false;
        sendAll(fd, "GET /ready HTTP/1.1\r\nHost: " + ip + "\r\n\r\n");
        Message answer;
        const bool isAnswered = Reader(fd).read(answer, now() + 1);
        close(fd);
        return isAnswered && answer.status == 200;
    }
    bool awaitReady(double seconds) const
    {
        for (const double end = now() + seconds; now() < end; sleepFor(0.05)) {
            if (isReady())
                return true;
        }
        return false;
    }
};

/// The temporary folder for settings and logs. run.sh names it, and removes it at the end.
class Folder {
public:
    const std::string& path() const { return m_path; }

private:
    std::string m_path { getenv("REVIEW_FOLDER") ? getenv("REVIEW_FOLDER") : "/tmp" };
};

/// Ends the program at once: the stand-ins' threads still use what destructors would destroy.
[[noreturn]] inline void finish(int status)
{
    std::cout.flush();
    _exit(status);
}

inline bool isTrouble()
{
    const char* text = getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

}
