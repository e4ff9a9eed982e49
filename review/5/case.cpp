// A lookup crashes every server that begins to run it, and its caller sends it again; other callers' lookups, which
// differ from it in their query only, are served meanwhile.
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
constexpr int servers = 3;
constexpr int callers = 8;
constexpr double trafficS = 40;
constexpr double pause = 0.3;
constexpr double poisonAt = 5;
constexpr double poisonEvery = 3;
constexpr double backAfter = 3;
constexpr double entryExpiresAfter = 3.6; ///< Three heartbeats.
constexpr double contactS = 4;
constexpr int deadlineMs = 2000;
const std::string host = "receipts.example";
const std::string poisonTarget = "/lookup/find?number=poison";

const std::string configuration = R"({"version":7,"routes":[{"name":"r-lookup","host":"receipts.example","pathPrefix":"/lookup/","routeType":"idempotent","timeoutMs":8000,"targetLatencyMs":500,"priority":2,"service":"lookup-desk","attempts":2}],"services":[{"name":"lookup-desk","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

std::mutex mutex;
std::vector<double> crashes;
std::set<std::string> lateRetries; // poison attempts that reached a server later than contactMs after the third crash
std::map<std::string, double> poisonSentAt;
std::map<int, int> lookupAnswers;
std::map<int, int> poisonAnswers;

int run(const std::string& folder)
{
    Record record(folder + "/record.txt");
    Store store(loopback(0, 1));
    store.put("config", "main", configuration);
    const std::vector<std::string> zones { "bengal-east-a", "bengal-east-b", "bengal-east-c" };
    std::atomic<bool> isEnding { false };
    std::atomic<int> lastId { 0 };
    std::vector<std::unique_ptr<Server>> backends; // guarded by mutex
    std::vector<std::thread> restarts; // guarded by mutex
    Server::Hooks hooks;
    hooks.onRun = [&](const Server& server, const Message& request) {
        if (request.target() != poisonTarget || !hasTrouble())
            return true;
        record.line("CRASH " + server.id() + " begins to run " + request.header("Lycheefield-Attempt-Id") + " " + request.target());
        const std::lock_guard lock(mutex);
        crashes.push_back(now());
        return false;
    };
    hooks.onArrival = [&](const Server& server, const Message& request) {
        const auto target = request.header("Lycheefield-Target-Instance");
        if (request.target() != poisonTarget || (!target.empty() && target != server.id()))
            return;
        const auto id = request.header("Lycheefield-Attempt-Id");
        const std::lock_guard lock(mutex);
        const bool isLate = crashes.size() >= 3 && poisonSentAt[id] > crashes[2] + contactS;
        if (isLate && lateRetries.insert(id).second)
            record.line("LATE retry " + id + " reached " + server.id() + ", " + std::to_string(now() - crashes[2]) + " s after the third crash");
    };
    const auto startServer = [&](ServerSettings settings, const std::string& ip, int port, const Server::Hooks& all) {
        return std::make_unique<Server>(store, std::move(settings), "i-" + std::to_string(++lastId), ip, port, all);
    };
    // The server is back after some seconds, under a new id at its address.
    std::function<void(Server&)> onCrash = [&](Server& server) {
        const std::lock_guard lock(mutex);
        restarts.emplace_back([&, settings = server.settings(), address = server.address(), id = server.id()] {
            const auto crashedAt = now();
            sleepFor(backAfter);
            if (!isEnding) {
                auto all = hooks;
                all.onCrash = onCrash;
                auto next = startServer(settings, address.ip, address.port, all);
                record.line("BACK " + next->id() + " in place of " + id);
                const std::lock_guard guard(mutex);
                backends.push_back(std::move(next));
            }
            sleepUntil(crashedAt + entryExpiresAfter);
            store.remove("servers", id);
        });
    };
    {
        auto all = hooks;
        all.onCrash = onCrash;
        for (int i = 0; i < servers; ++i)
            backends.push_back(startServer({ "lookup-desk", zones[static_cast<std::size_t>(i) % 3], 3, 16, 60, 110 }, loopback(2, i + 1), 0, all));
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
            const auto& gateway = *fleet[static_cast<std::size_t>(i) % gateways];
            Caller caller(gateway.front());
            while (now() - start < trafficS) {
                const auto id = newAttemptId();
                const auto target = "/lookup/find?number=" + id;
                record.line("SENT " + id + " " + target + " to " + gateway.name());
                const auto answer = caller.call("GET", target, host, id, deadlineMs, "");
                record.line("ANSWERED " + id + " status " + std::to_string(answer.status));
                {
                    const std::lock_guard lock(mutex);
                    ++lookupAnswers[answer.status];
                }
                sleepFor(pause * 2 * randomUnit());
            }
        });
    }
    for (int i = 0; poisonAt + i * poisonEvery < trafficS; ++i) {
        sleepUntil(start + poisonAt + i * poisonEvery);
        const auto& gateway = *fleet[static_cast<std::size_t>(i) % gateways];
        Caller caller(gateway.front());
        const auto id = newAttemptId();
        {
            const std::lock_guard lock(mutex);
            poisonSentAt[id] = now();
        }
        record.line("SENT poison " + id + " " + poisonTarget + " to " + gateway.name());
        const auto answer = caller.call("GET", poisonTarget, host, id, deadlineMs, "");
        record.line("ANSWERED poison " + id + " status " + std::to_string(answer.status));
        const std::lock_guard lock(mutex);
        ++poisonAnswers[answer.status];
    }
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

    int result;
    {
        const std::lock_guard lock(mutex);
        const auto describe = [](const std::map<int, int>& counts) {
            std::string text;
            for (const auto& [status, n] : counts)
                text += " " + std::to_string(status) + "x" + std::to_string(n);
            return text;
        };
        const std::string summary = "crashes " + std::to_string(crashes.size()) + ", retries that reached servers later than contactMs after the third crash " + std::to_string(lateRetries.size())
            + "; answers to the poison:" + describe(poisonAnswers) + "; to other lookups:" + describe(lookupAnswers);
        record.line(summary);
        std::printf("%s\n", summary.c_str());
        result = lookupAnswers[200] < 100 ? 2 : lateRetries.size() > 3 && crashes.size() >= 3 ? 1
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
