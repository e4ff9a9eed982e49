// One server spoils an answer: it announces chunks and sends bytes that are none.
//
// Rule LOST: at any time, a machine in touch passes a request from a kept connection on to a sound server and
// closes that connection without an answer, more than three times.

#include "../standin/lab.h"

#include <cstdio>
#include <exception>
#include <map>
#include <mutex>
#include <set>

using namespace lab;

namespace {

constexpr int gateways = 3;
constexpr int servers = 10;
constexpr int callers = 48;
constexpr double trafficS = 25;
constexpr double longestPause = 0.05;
constexpr int deadlineMs = 15000;
constexpr double restartDelay = 0.5;

/// The disruption: garble, share = 0.1 (one of ten servers), x = 0.02, for_s = 5.
const std::string faultyServer = "i-ledger-0";
constexpr double garbleAt = 8;
constexpr double garbleForS = 5;
constexpr double spoiledShareOfAnswers = 0.02;

const std::string configuration = R"({"version":7,"routes":[{"name":"r-ledger","host":"ledger.example","pathPrefix":"/ledger/","routeType":"idempotent","timeoutMs":15000,"targetLatencyMs":800,"priority":2,"service":"ledgerbook","attempts":2}],"services":[{"name":"ledgerbook","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

std::mutex mutex;
std::map<std::string, std::set<std::string>> arrivals; // attempt id -> servers that it reached
std::set<std::string> spoiledAttempts;
std::uint64_t faultyAnswers = 0;
std::map<int, int> byStatus;
std::atomic<double> trafficStart { 1e9 };

int run(const std::string& folder)
{
    Record record(folder + "/record.txt");
    Store store(loopback(0, 1));
    store.put("config", "main", configuration);
    Server::Hooks hooks;
    hooks.onArrival = [&](const Server& server, const Message& request) {
        const std::lock_guard lock(mutex);
        arrivals[request.header("Lycheefield-Attempt-Id")].insert(server.id());
    };
    hooks.onRun = [&](const Server& server, const Message& request) {
        record.line("RUN " + request.header("Lycheefield-Attempt-Id") + " on " + server.id());
        return true;
    };
    hooks.spoils = [&](const Server& server, const Message& request) {
        if (server.id() != faultyServer)
            return false;
        const std::lock_guard lock(mutex);
        const auto at = now() - trafficStart;
        const bool isWindow = at >= garbleAt && at < garbleAt + garbleForS;
        if (!hasTrouble() || !isWindow)
            return false;
        // Only answers inside the window count for the share.
        ++faultyAnswers;
        if (static_cast<double>(spoiledAttempts.size() + 1) > spoiledShareOfAnswers * static_cast<double>(faultyAnswers))
            return false;
        const auto id = request.header("Lycheefield-Attempt-Id");
        spoiledAttempts.insert(id);
        record.line("SPOILED the answer to " + id + " by " + server.id());
        return true;
    };
    const std::vector<std::string> zones { "ikeja-a", "lekki-b", "ibadan-c" };
    std::vector<std::unique_ptr<Server>> backends;
    for (int i = 0; i < servers; ++i)
        backends.push_back(std::make_unique<Server>(store, ServerSettings { "ledgerbook", zones[static_cast<std::size_t>(i) % 3], 4, 16, 220, 110 }, "i-ledger-" + std::to_string(i), loopback(2, i + 1), 0, hooks));
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
    std::atomic<bool> isEnding { false };
    int ends = 0;
    // The platform starts a process again after a short delay when it ended by itself.
    std::thread platform([&] {
        while (!isEnding) {
            for (const auto& it : fleet) {
                if (it->isRunning())
                    continue;
                ++ends;
                record.line("ENDED " + it->name() + " has ended by itself");
                sleepFor(restartDelay);
                it->start();
            }
            sleepFor(0.02);
        }
    });
    int cut = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            const auto& gateway = *fleet[static_cast<std::size_t>(i) % gateways];
            Caller caller(gateway.front());
            while (now() - trafficStart < trafficS) {
                const auto id = newAttemptId();
                record.line("SENT " + id + " to " + gateway.name());
                const auto answer = caller.call("GET", "/ledger/" + id, "ledger.example", id, deadlineMs, "");
                record.line("ANSWERED " + id + " status " + std::to_string(answer.status));
                {
                    const std::lock_guard lock(mutex);
                    ++byStatus[answer.status];
                    const auto& reached = arrivals[id];
                    const bool isAtSoundServer = !reached.empty() && !reached.contains(faultyServer);
                    if (answer.wasCut && answer.wasKept && isAtSoundServer) {
                        ++cut;
                        record.line("LOST " + id + ": its kept connection was closed without an answer; it had reached " + *reached.begin());
                    }
                }
                sleepFor(longestPause * randomUnit());
            }
        });
    }
    for (auto& it : threads)
        it.join();
    isEnding = true;
    platform.join();

    std::string summary = "spoiled answers " + std::to_string(spoiledAttempts.size()) + " of " + std::to_string(faultyAnswers) + " of one server in its five seconds; gateways that ended by themselves " + std::to_string(ends)
        + ", requests of kept connections cut off while at a sound server " + std::to_string(cut) + "; answers:";
    for (const auto& [status, n] : byStatus)
        summary += " " + std::to_string(status) + "x" + std::to_string(n);
    record.line(summary);
    std::printf("%s\n", summary.c_str());
    if (byStatus[200] < 500 || (hasTrouble() && spoiledAttempts.empty()))
        return 2;
    return cut > 3 ? 1 : 0;
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
