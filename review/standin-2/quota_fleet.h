/// The deployment that the cases about quotas share: one tenant, one service, three gateways in three zones and a fourth one that is
/// added in the zone of the first. Checks QUOTA from what the clients and the servers saw.
#pragma once

#include "kit.h"

namespace quota {

using namespace kit;

// The deployment's figures, as the sheet of apci-catalog-grown gives them.
constexpr double quotaWindowS = 5;
constexpr double quotaOvershoot = 0.1;
constexpr double quotaSlack = 20;

// The tenant: its quota is 1.6 times its usual, as in the site file. It sends 7.5 times its usual for 6.5 s.
constexpr double usualPerS = 12.5;
constexpr double ratePerS = 1.6 * usualPerS;
constexpr double burst = 10;
constexpr double hotFactor = 7.5;
constexpr double hotForS = 6.5;
inline const std::string tenant = "tenant-12";
inline const std::string apiKey = "key-of-tenant-12";

struct Run {
    double sentAt = 0;
    double arrivedAt = -1;
    std::string gateway;
    int status = 0;
};

inline std::mutex runsMutex;
inline std::map<std::string, Run> runs;

inline void serve(int fd, const std::string& id, const std::string& service)
{
    Reader reader(fd);
    Message request;
    while (reader.read(request)) {
        const auto arrivedAt = now();
        const auto target = request.header("Lycheefield-Target-Instance");
        std::string out;
        if (request.target == "/health") {
            out = "HTTP/1.1 200 OK\r\nLycheefield-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
        } else if (!target.empty() && target != id) {
            out = "HTTP/1.1 421 Misdirected Request\r\nLycheefield-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
        } else {
            const auto attempt = request.header("Lycheefield-Attempt-Id");
            {
                const Lock lock(runsMutex);
                const auto it = runs.find(attempt);
                if (it != runs.end() && it->second.arrivedAt < 0 && request.header("Lycheefield-Tenant") == tenant)
                    it->second.arrivedAt = arrivedAt;
            }
            sleepFor(0.005);
            out = "HTTP/1.1 200 OK\r\nLycheefield-Attempt-Id: " + attempt + "\r\nLycheefield-Response-Stamp: " + service + "." + attempt + "\r\nLycheefield-Server-Load: 1,0,8\r\nContent-Length: 3\r\n\r\nok\n";
        }
        if (!sendAll(fd, out))
            break;
    }
    close(fd);
}

/// Sends requests at an even rate on kept connections, without waiting for the answers of the earlier ones.
class Client {
public:
    Client(const Gateway& gateway, unsigned number)
        : m_gateway(gateway)
        , m_number(number)
    {
    }

    void run(double perS, double from, double until)
    {
        std::vector<std::thread> threads;
        constexpr int connections = 4;
        for (int i = 0; i < connections; ++i)
            threads.emplace_back([=, this] { runConnection(i, perS / connections, from + i / perS, until); });
        for (auto& it : threads)
            it.join();
    }

private:
    void runConnection(int connection, double perS, double from, double until)
    {
        int fd = -1;
        std::unique_ptr<Reader> reader;
        for (int i = 0; from + i / perS < until; ++i) {
            sleepUntil(from + i / perS);
            char id[32];
            std::snprintf(id, sizeof(id), "%02x%02x%04x%08x", m_number, static_cast<unsigned>(connection), static_cast<unsigned>(from) & 0xffff, static_cast<unsigned>(i));
            if (fd < 0) {
                fd = connectTo(m_gateway.ip, m_gateway.front);
                if (fd < 0)
                    continue;
                reader = std::make_unique<Reader>(fd);
            }
            {
                const Lock lock(runsMutex);
                runs[id] = { now(), -1, m_gateway.name, 0 };
            }
            Message answer;
            const bool isAnswered = sendAll(fd, "GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\nLycheefield-Attempt-Id: " + std::string(id) + "\r\nLycheefield-Deadline-Ms: 2000\r\nAuthorization: Bearer " + apiKey + "\r\n\r\n")
                && reader->read(answer, now() + 3);
            if (isAnswered) {
                const Lock lock(runsMutex);
                runs[id].status = answer.status;
            }
            if (!isAnswered || answer.header("Connection") == "close") {
                close(fd);
                fd = -1;
            }
        }
        if (fd >= 0)
            close(fd);
    }

    const Gateway& m_gateway;
    unsigned m_number;
};

inline json::value configuration()
{
    return json::object {
        { "version", 7 },
        { "routes", json::array { json::object { { "name", "lookup" }, { "host", "shop.example" }, { "pathPrefix", "/lookup/" }, { "routeType", "idempotent" }, { "timeoutMs", 2000 }, { "targetLatencyMs", 800 }, { "priority", 2 }, { "service", "register" }, { "attempts", 2 }, { "public", false } } } },
        { "services", json::array { json::object { { "name", "register" }, { "healthPath", "/health" }, { "maxConns", 550 }, { "protocol", "h1" }, { "tls", false }, { "warmupS", 3.0 }, { "warmupPerS", 0.0 } } } },
        { "limits", json::object { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 5000 }, { "idleTimeoutMs", 30000 } } },
        { "tenants", json::array { json::object { { "name", tenant }, { "apiKeys", json::array { apiKey } }, { "ratePerS", ratePerS }, { "burst", burst }, { "priority", 1 } } } },
    };
}

inline std::map<std::string, std::string> figures()
{
    return { { "limits.cpuShare", "0.5" }, { "heartbeatMs", "1200" }, { "bounds.configApplyMs", "5000" }, { "bounds.drainMs", "5000" }, { "bounds.evacuateMs", "5000" }, { "bounds.graceS", "6" }, { "bounds.retryBudgetRatio", "0.2" },
        { "bounds.retrySlack", "204" }, { "bounds.budgetWindowS", "10" }, { "bounds.warmupOvershoot", "1.5" }, { "bounds.warmupSlack", "5" }, { "bounds.strictRevoke", "true" }, { "bounds.revokeMs", "5000" }, { "bounds.quotaWindowS", "5" },
        { "bounds.quotaOvershoot", "0.1" }, { "bounds.quotaSlack", "20" } };
}

/// Returns the most requests that were both sent and run in one window, and when that began.
inline std::pair<int, double> fullestWindow()
{
    std::vector<Run> ran;
    for (const auto& [id, it] : runs) {
        if (it.arrivedAt >= 0)
            ran.push_back(it);
    }
    std::pair<int, double> most { 0, 0 };
    for (const auto& first : ran) {
        int n = 0;
        for (const auto& it : ran)
            n += it.sentAt >= first.sentAt && it.arrivedAt <= first.sentAt + quotaWindowS;
        most = std::max(most, { n, first.sentAt });
    }
    return most;
}

class Fleet {
public:
    static constexpr int added = 3; ///< The gateway that is added.
    static constexpr int formerKeeper = 2; ///< The gateway that grants the tenant's requests before that one is added.

    /// recordPath: the path of the case's record.txt.
    explicit Fleet(const std::string& recordPath)
        : record(recordPath)
    {
        for (int i = 0; i < 3; ++i) {
            const auto id = "i-server-" + std::to_string(i);
            m_servers.push_back(std::make_unique<Listener>("127.0.0.1", 0, [id](int fd) { serve(fd, id, "register"); }));
            store.put("servers", id, json::object { { "service", "register" }, { "address", "127.0.0.1:" + std::to_string(m_servers.back()->port()) }, { "zone", std::string("zone-") + "abc"[i] }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "warmupLeftMs", 0 }, { "sequence", 4 }, { "born", 1796000000000 } });
        }
        store.put("config", "main", configuration());
        const char* names[] = { "edge-a-1", "edge-b-1", "edge-c-1", "edge-a-2" };
        const char* zones[] = { "zone-a", "zone-b", "zone-c", "zone-a" };
        for (int i = 0; i < 4; ++i) {
            auto& it = gateways[i];
            it.name = names[i];
            it.zone = zones[i];
            it.ip = "127.0.0." + std::to_string(21 + i);
            it.assignPorts();
            it.storePort = store.open(it.storeMode, [this, i](const std::string& method, const std::string& target) { onStoreCall(i, method, target); });
        }
    }

    void start(int gateway)
    {
        gateways[gateway].start(m_folder.path(), figures());
        record.line(gateways[gateway].name + " is started", true);
    }

    /// Starts the first three gateways and waits until their roles are settled and the former keeper has just listed the gateways, as it
    /// does every ten seconds. Returns the time of that list, or a negative time if the case can't run.
    double begin()
    {
        for (int i = 0; i < added; ++i)
            start(i);
        for (int i = 0; i < added; ++i) {
            if (!gateways[i].awaitReady(10))
                return -1;
        }
        sleepUntil(18);
        m_listedAt = -1;
        for (const double end = now() + 15; m_listedAt < 0; sleepFor(0.01)) {
            if (now() > end)
                return -1;
        }
        sleepFor(0.1);
        return m_listedAt;
    }

    /// Starts clients of the gateways from `first` to before `last`, who send so many requests a second together.
    void send(double perS, double from, double until, int first, int last, unsigned number)
    {
        for (int i = first; i < last; ++i)
            m_clients.emplace_back([=, this] { Client(gateways[i], number + static_cast<unsigned>(i)).run(perS / (last - first), from, until); });
    }

    /// Ends the gateways and the program: the case can't run.
    [[noreturn]] void giveUp()
    {
        record.line("the gateways aren't ready; the case can't run", true);
        for (auto& it : gateways)
            it.process.reset();
        finish(2);
    }

    /// Waits for the clients, stops the gateways, judges and ends the program.
    [[noreturn]] void end(double startedAt)
    {
        for (auto& it : m_clients)
            it.join();
        sleepFor(0.5);
        for (auto& it : gateways)
            it.process->signal(SIGTERM);
        sleepFor(0.5);
        for (auto& it : gateways)
            it.process->end(SIGKILL);
        const Lock lock(runsMutex);
        std::map<std::string, std::map<int, int>> perSecond;
        for (const auto& [id, it] : runs) {
            char text[160];
            std::snprintf(text, sizeof(text), "%s %s sent=%.4f ran=%.4f status=%d", id.c_str(), it.gateway.c_str(), it.sentAt, it.arrivedAt, it.status);
            record.line(text);
            if (it.arrivedAt >= 0)
                ++perSecond[it.gateway][static_cast<int>(it.sentAt - startedAt)];
        }
        for (const auto& [gateway, seconds] : perSecond) {
            std::string text = gateway + ", requests run by second since the start of edge-a-2:";
            for (const auto& [second, n] : seconds)
                text += " " + std::to_string(second) + ":" + std::to_string(n);
            record.line(text, true);
        }
        const auto [most, from] = fullestWindow();
        const double limit = (ratePerS * quotaWindowS + burst) * (1 + quotaOvershoot) + quotaSlack;
        char text[160];
        std::snprintf(text, sizeof(text), "most requests in %.0f s: %d, from %.2f s after the start of edge-a-2; limit %.1f: %s", quotaWindowS, most, from - startedAt, limit, most > limit ? "QUOTA broken" : "held");
        record.line(text, true);
        finish(most > limit ? 1 : 0);
    }

    Record record;
    Store store;
    std::vector<Gateway> gateways { 4 };

private:
    void onStoreCall(int gateway, const std::string& method, const std::string& target)
    {
        const bool isList = method == "GET" && target.rfind("/objects/gateways", 0) == 0;
        if (!isList)
            return;
        record.line("store: " + gateways[gateway].name + " lists the gateways" + (*gateways[gateway].storeMode == Store::Serves ? "" : ", turned away"));
        if (gateway == formerKeeper)
            m_listedAt = now();
    }

    Folder m_folder;
    std::vector<std::unique_ptr<Listener>> m_servers;
    std::vector<std::thread> m_clients;
    std::atomic<double> m_listedAt { -1 };
};

}
