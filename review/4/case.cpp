// A search that crashes every server that begins to run it; its caller sends it again and again.
//
// Rule BUDGET: a request that crashes the servers that run it reaches servers in more than three retries, sent
// by machines in touch later than contactMs after it has crashed the third.

#include "../standin/lab.h"

#include <cstdio>
#include <exception>
#include <map>
#include <mutex>
#include <set>

using namespace lab;

namespace {

constexpr int gateways = 4;
constexpr int shards = 6;
constexpr int serversPerShard = 2;
constexpr int callers = 8;
constexpr double trafficS = 50;
constexpr double pause = 0.3;
constexpr double firstPoisonAt = 5;
constexpr double poisonEvery = 3;
constexpr double backAfter = 3;
constexpr double entryExpiresAfter = 3.6; ///< Three heartbeats.
constexpr double contactS = 4;
constexpr int deadlineMs = 2000;
constexpr std::size_t recordBytes = 16;
const std::string host = "shades.example";
const std::string poisonPath = "/shades/poison/1";

std::string shardName(int i) { return "matcher-" + std::to_string(i); }

std::string configuration()
{
    std::string gather;
    std::string services;
    for (int i = 0; i < shards; ++i) {
        gather += std::string(i ? "," : "") + "\"" + shardName(i) + "\"";
        services += std::string(i ? "," : "") + R"({"name":")" + shardName(i) + R"(","healthPath":"/health","maxConns":26,"protocol":"h1","tls":false})";
    }
    return R"({"version":7,"routes":[{"name":"r-shades","host":"shades.example","pathPrefix":"/shades/","routeType":"idempotent","timeoutMs":2000,"targetLatencyMs":150,"priority":1,"gather":[)" + gather
        + R"(],"attempts":2,"topK":5,"minShardRatio":0.89}],"services":[)" + services + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

std::mutex mutex;
std::vector<double> crashes;
std::set<std::string> lateRetries; // poison attempts that reached a server later than contactMs after the third crash
std::map<std::string, double> poisonSentAt;
std::map<int, int> normalBefore;
std::map<int, int> normalAfter;
std::map<int, int> poisonAnswers;

int run(const std::string& folder)
{
    Record record(folder + "/record.txt");
    Store store(loopback(0, 1));
    store.put("config", "main", configuration());
    const std::vector<std::string> zones { "hue-a", "hue-b", "hue-c" };
    std::atomic<bool> isEnding { false };
    std::atomic<int> lastId { 0 };
    std::vector<std::unique_ptr<Server>> backends; // guarded by mutex
    std::vector<std::thread> restarts; // guarded by mutex
    Server::Hooks hooks;
    const auto isPoison = [](const Message& request) { return request.target() == poisonPath; };
    hooks.onArrival = [&](const Server& server, const Message& request) {
        const auto target = request.header("Lycheefield-Target-Instance");
        if (!isPoison(request) || (!target.empty() && target != server.id()))
            return;
        const auto id = request.header("Lycheefield-Attempt-Id");
        const std::lock_guard lock(mutex);
        const bool isLate = crashes.size() >= 3 && poisonSentAt[id] > crashes[2] + contactS;
        if (isLate && lateRetries.insert(id).second)
            record.line("LATE retry " + id + " reached " + server.id() + ", " + std::to_string(now() - crashes[2]) + " s after the third crash");
    };
    hooks.onRun = [&](const Server& server, const Message& request) {
        if (!isPoison(request) || !hasTrouble())
            return true;
        record.line("CRASH " + server.id() + " begins to run " + request.header("Lycheefield-Attempt-Id"));
        const std::lock_guard lock(mutex);
        crashes.push_back(now());
        return false;
    };
    hooks.body = [](const Server&, const Message&) {
        std::string body;
        for (int i = 0; i < 5; ++i)
            body += newAttemptId();
        return body.substr(0, 5 * recordBytes);
    };
    const auto startServer = [&](ServerSettings settings, const std::string& ip, int port, const Server::Hooks& all) {
        return std::make_unique<Server>(store, std::move(settings), "i-" + std::to_string(++lastId), ip, port, all);
    };
    // The server is back after some seconds, under a new id at its address.
    std::function<void(Server&)> onCrash = [&](Server& server) {
        const std::lock_guard lock(mutex);
        restarts.emplace_back([&, settings = server.settings(), address = server.address(), id = server.id()] {
            const auto crashedAt = now();
            while (now() < crashedAt + backAfter && !isEnding)
                sleepFor(0.02);
            if (!isEnding) {
                auto all = hooks;
                all.onCrash = onCrash;
                auto next = startServer(settings, address.ip, address.port, all);
                record.line("BACK " + next->id() + " in place of " + id);
                const std::lock_guard guard(mutex);
                backends.push_back(std::move(next));
            }
            while (now() < crashedAt + entryExpiresAfter && !isEnding)
                sleepFor(0.02);
            store.remove("servers", id);
        });
    };
    hooks.onCrash = nullptr;
    {
        auto all = hooks;
        all.onCrash = onCrash;
        for (int i = 0; i < shards * serversPerShard; ++i)
            backends.push_back(startServer({ shardName(i / serversPerShard), zones[static_cast<std::size_t>(i) % serversPerShard], 2, 12, 15, 26 }, loopback(2, i + 1), 0, all));
    }
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

    const auto start = now();
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            Caller caller(fleet[static_cast<std::size_t>(i) % gateways]->front());
            while (now() - start < trafficS) {
                const auto id = newAttemptId();
                const bool isBefore = now() - start < firstPoisonAt;
                const auto answer = caller.call("GET", "/shades/" + id, host, id, deadlineMs, "");
                record.line("ANSWERED search " + id + " status " + std::to_string(answer.status));
                {
                    const std::lock_guard lock(mutex);
                    ++(isBefore ? normalBefore : normalAfter)[answer.status];
                }
                sleepFor(pause * 2 * randomUnit());
            }
        });
    }
    threads.emplace_back([&] {
        for (int i = 0; firstPoisonAt + i * poisonEvery < trafficS; ++i) {
            sleepUntil(start + firstPoisonAt + i * poisonEvery);
            const auto& gateway = *fleet[static_cast<std::size_t>(i) % gateways];
            Caller caller(gateway.front());
            const auto id = newAttemptId();
            {
                const std::lock_guard lock(mutex);
                poisonSentAt[id] = now();
            }
            record.line("SENT poison " + id + " to " + gateway.name());
            const auto answer = caller.call("GET", poisonPath, host, id, deadlineMs, "");
            record.line("ANSWERED poison " + id + " status " + std::to_string(answer.status));
            const std::lock_guard lock(mutex);
            ++poisonAnswers[answer.status];
        }
    });
    for (auto& it : threads)
        it.join();
    isEnding = true;
    for (std::size_t i = 0;; ++i) {
        std::unique_lock lock(mutex);
        if (i >= restarts.size())
            break;
        auto thread = std::move(restarts[i]);
        lock.unlock();
        thread.join();
    }
    fleet.clear();

    const auto describe = [](const std::map<int, int>& counts) {
        std::string text;
        for (const auto& [status, n] : counts)
            text += " " + std::to_string(status) + "x" + std::to_string(n);
        return text;
    };
    int result;
    {
        const std::lock_guard lock(mutex);
        const std::string summary = "crashes " + std::to_string(crashes.size()) + ", retries that reached servers later than contactMs after the third crash " + std::to_string(lateRetries.size())
            + "; answers to the poison:" + describe(poisonAnswers) + "; to other searches before it:" + describe(normalBefore) + ", since:" + describe(normalAfter);
        record.line(summary);
        std::printf("%s\n", summary.c_str());
        result = normalBefore[200] < 20 ? 2 : lateRetries.size() > 3 && crashes.size() >= 3 ? 1
                                                                                            : 0;
    }
    backends.clear();
    return result;
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
