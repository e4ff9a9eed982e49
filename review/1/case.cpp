// Orders (not idempotent) through real gateways while some servers send a late second copy of an answer.
//
// Rule TWICE: a request that isn't idempotent runs more than once.
// Rule REFUSED: a request that isn't idempotent is answered 429, 503, 408 or 421 and has run.

#include "../standin/lab.h"

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <map>
#include <mutex>
#include <set>

using namespace lab;

namespace {

constexpr int gateways = 9;
constexpr int services = 4; ///< Each has one server with 2 slots, as every company runs its own order desk.
constexpr int callersPerService = 9;
constexpr double trafficS = 28;
constexpr double longestPause = 0.04; ///< Between the answer to an order and the caller's next order.
constexpr double workMs = 28;
constexpr int queue = 4;
constexpr int maxConns = 36;
constexpr int deadlineMs = 3000;
const std::string host = "orders.example";

/// The disruption: garble, how = "extra late across", share = 0.5, x = 0.04, for_s = 5.0, once in eight seconds.
constexpr double extraShareOfAnswers = 0.04;
constexpr int garblingServers = 2; // 2 of 4: a share of 0.5
constexpr double firstGarbleAt = 4;
constexpr double garbleEvery = 8;
constexpr double garbleForS = 5;

std::string serviceName(int i) { return "order-desk-" + std::to_string(i); }
std::string serverName(int i) { return "i-order-" + std::to_string(i); }

std::string configuration()
{
    std::string routes;
    std::string list;
    for (int i = 0; i < services; ++i) {
        const auto n = std::to_string(i);
        routes += std::string(i ? "," : "") + R"({"name":"r-orders-)" + n + R"(","host":"orders.example","pathPrefix":"/orders-)" + n
            + R"(/","routeType":"non_idempotent","timeoutMs":3000,"targetLatencyMs":500,"priority":2,"service":")" + serviceName(i) + R"(","attempts":2})";
        list += std::string(i ? "," : "") + R"({"name":")" + serviceName(i) + R"(","healthPath":"/health","maxConns":36,"protocol":"h1","tls":false})";
    }
    return R"({"version":7,"routes":[)" + routes + R"(],"services":[)" + list + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

std::mutex mutex;
std::map<std::string, std::vector<std::string>> runs; // attempt id -> servers that began to work on it
std::map<std::string, int> statuses;
std::uint64_t extras = 0;
std::uint64_t garblingAnswers = 0;
std::uint64_t rejections = 0;
std::atomic<double> trafficStart { 1e9 };

/// The server's garble window that lies at this time; -1 outside of them and for the other servers.
int garbleWindow(const Server& server)
{
    const auto at = now() - trafficStart;
    if (at < firstGarbleAt || at > trafficS || server.id().back() - '0' >= garblingServers)
        return -1;
    const auto window = static_cast<int>((at - firstGarbleAt) / garbleEvery);
    return at - firstGarbleAt - garbleEvery * window < garbleForS ? window : -1;
}

struct Dose {
    std::uint64_t answers = 0;
    std::uint64_t extras = 0;
};
std::map<std::pair<std::string, int>, Dose> doses; // by server and window

int run(const std::string& folder)
{
    Record record(folder + "/record.txt");
    Store store(loopback(0, 1));
    store.put("config", "main", configuration());
    Server::Hooks hooks;
    hooks.onRun = [&](const Server& server, const Message& request) {
        const auto id = request.header("Lycheefield-Attempt-Id");
        record.line("RUN " + id + " on " + server.id());
        const std::lock_guard lock(mutex);
        runs[id].push_back(server.id());
        return true;
    };
    hooks.onReject = [&](const Server& server, const Message& request, int status) {
        record.line("REJECTED " + request.header("Lycheefield-Attempt-Id") + " by " + server.id() + " status " + std::to_string(status));
        const std::lock_guard lock(mutex);
        ++rejections;
    };
    hooks.sendsExtra = [&](const Server& server, const Message&) {
        const auto window = garbleWindow(server);
        if (!hasTrouble() || window < 0)
            return false;
        const std::lock_guard lock(mutex);
        ++garblingAnswers;
        // The share holds for each server in each window.
        auto& dose = doses[{ server.id(), window }];
        ++dose.answers;
        const bool isWithinShare = static_cast<double>(dose.extras + 1) <= extraShareOfAnswers * static_cast<double>(dose.answers);
        if (!isWithinShare || randomUnit() >= 2 * extraShareOfAnswers)
            return false;
        ++dose.extras;
        return true;
    };
    hooks.onExtra = [&](const Server& server, const std::string& id) {
        record.line("EXTRA second copy of the answer to " + id + " by " + server.id());
        const std::lock_guard lock(mutex);
        ++extras;
    };
    const std::vector<std::string> zones { "hue-a", "hue-b", "hue-c" };
    std::vector<std::unique_ptr<Server>> backends;
    for (int i = 0; i < services; ++i)
        backends.push_back(std::make_unique<Server>(store, ServerSettings { serviceName(i), zones[static_cast<std::size_t>(i) % zones.size()], 2, queue, workMs, maxConns }, serverName(i), loopback(2, i + 1), 0, hooks));
    std::vector<std::unique_ptr<Gateway>> fleet;
    for (int i = 0; i < gateways; ++i) {
        fleet.push_back(std::make_unique<Gateway>(store, "edge-" + std::to_string(i), zones[static_cast<std::size_t>(i) % 3], loopback(1, i + 1), temporaryFolder()));
        fleet.back()->start();
    }
    for (const auto& it : fleet) {
        if (!it->waitReady(10)) {
            std::printf("gateway %s is not ready\n", it->name().c_str());
            return 2;
        }
    }
    sleepFor(4);

    trafficStart = now();
    std::vector<std::thread> callers;
    const auto callAll = [&](int index) {
        const auto& gateway = *fleet[static_cast<std::size_t>(index) % fleet.size()];
        const auto prefix = "/orders-" + std::to_string(index / callersPerService) + "/";
        Caller caller(gateway.front());
        while (now() - trafficStart < trafficS) {
            const auto id = newAttemptId();
            record.line("SENT " + id + " to " + gateway.name());
            const auto answer = caller.call("POST", prefix + id, host, id, deadlineMs, "order " + id);
            record.line("ANSWERED " + id + " status " + std::to_string(answer.status));
            {
                const std::lock_guard lock(mutex);
                statuses[id] = answer.status;
            }
            sleepFor(longestPause * randomUnit());
        }
    };
    for (int i = 0; i < services * callersPerService; ++i)
        callers.emplace_back(callAll, i);
    for (auto& it : callers)
        it.join();
    sleepFor(2);

    int twice = 0;
    int refused = 0;
    std::map<int, int> byStatus;
    const std::lock_guard lock(mutex);
    for (const auto& [id, list] : runs) {
        if (list.size() < 2)
            continue;
        ++twice;
        std::string text = "TWICE " + id + " ran " + std::to_string(list.size()) + " times:";
        for (const auto& it : list)
            text += " " + it;
        record.line(text + ", answered " + std::to_string(statuses[id]));
    }
    for (const auto& [id, status] : statuses) {
        ++byStatus[status];
        const bool promises = status == 503 || status == 429 || status == 408 || status == 421;
        if (promises && runs.contains(id)) {
            ++refused;
            record.line("REFUSED " + id + " answered " + std::to_string(status) + " and ran");
        }
    }
    std::string summary = "orders " + std::to_string(statuses.size()) + ", rejections by servers " + std::to_string(rejections) + ", answers of garbling servers " + std::to_string(garblingAnswers)
        + ", extra copies " + std::to_string(extras) + ", sent again on the connection of the rejection " + std::to_string(resentOnSameConnection) + ", ran more than once " + std::to_string(twice) + ", promised not run but ran " + std::to_string(refused) + "; answers:";
    for (const auto& [status, n] : byStatus)
        summary += " " + std::to_string(status) + "x" + std::to_string(n);
    record.line(summary);
    std::printf("%s\n", summary.c_str());
    if (statuses.size() < 500 || runs.size() < 500)
        return 2;
    return twice > 0 ? 1 : 0;
}

}

int main(int, char** argv)
{
    try {
        return run(argv[1]);
    } catch (const std::exception& ex) {
        std::printf("could not run: %s\n", ex.what());
        return 2;
    }
}
