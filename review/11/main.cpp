/// One gateway of three is removed with SIGTERM; then all processes are killed right after a change of the configuration, and started again.

#include "../standin-3/kit.h"

using namespace standin;

namespace {

constexpr double recovery = 15; // recoveryS of the site
constexpr double killedFor = 0.55;
constexpr double observedFor = 10; // Beyond the time for the recovery.
constexpr double heartbeat = 1.2;
constexpr double pauseBetweenRequests = 0.5; // Of each of three callers: 6 requests a second, of a quota of 20.

std::string configuration(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"r","host":"a.example","pathPrefix":"/s/","routeType":"idempotent","timeoutMs":2000,"targetLatencyMs":500,"priority":1,"service":"x","attempts":2}],"services":[{"name":"x","healthPath":"/health","maxConns":60}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":5000,"idleTimeoutMs":20000},"tenants":[{"name":"alpha","apiKeys":["key-of-alpha"],"ratePerS":20,"burst":20}]})";
}

struct Sent {
    double at = 0;
    int status = 0;
};

std::string served(const std::vector<Sent>& sent, double from, double to, double& share)
{
    std::size_t all = 0;
    std::size_t good = 0;
    for (const auto& it : sent) {
        all += it.at >= from && it.at < to ? 1 : 0;
        good += it.at >= from && it.at < to && it.status == 200 ? 1 : 0;
    }
    share = all == 0 ? 0 : static_cast<double>(good) / static_cast<double>(all);
    return std::to_string(good) + " of " + std::to_string(all);
}

}

int main(int argc, char** argv)
{
    const bool hasTrouble = std::string(std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1") != "0";
    if (argc < 3)
        return 2;
    Record record(argv[1]);
    Store store;
    Server first("i-1", "x", "a", "127.0.0.1");
    Server second("i-2", "x", "b", "127.0.0.1");
    std::atomic<bool> isOver { false };
    store.put("config", "main", configuration(1));
    std::thread servers([&] {
        while (!isOver) {
            for (auto* it : { &first, &second })
                store.put("servers", it->id(), it->nextEntry());
            sleepUntil(now() + heartbeat);
        }
    });
    Gateway gateways[] = { { "edge-a-1", "a", "127.0.1.1", store.endpoint(), argv[2] }, { "edge-a-2", "a", "127.0.1.2", store.endpoint(), argv[2] }, { "edge-b-1", "b", "127.0.1.3", store.endpoint(), argv[2] } };
    for (auto& it : gateways)
        it.start();
    const bool isReady = waitFor(20, [&] { return std::all_of(std::begin(gateways), std::end(gateways), [](const auto& it) { return it.isReady(); }); });
    sleepUntil(now() + 3);
    const auto trafficFrom = now();
    std::mutex mutex;
    std::vector<Sent> sent;
    std::vector<std::thread> callers;
    // The callers of the removed gateway come to the others, as the platform's balancer sends them there.
    for (int i = 0; i < 3; ++i) {
        callers.emplace_back([&, i] {
            for (int n = 0; !isOver; ++n) {
                const auto attempt = "caller-" + std::to_string(i) + "-" + std::to_string(n);
                const auto at = now();
                const auto response = call(gateways[i % 2], "GET /s/q HTTP/1.1\r\nHost: a.example\r\nLycheefield-Attempt-Id: " + attempt + "\r\nLycheefield-Deadline-Ms: 1000\r\nAuthorization: Bearer key-of-alpha\r\n\r\n", 1);
                record.add("sent " + attempt + " answered " + (response ? response->first + " " + response->body.substr(0, response->body.find('\n')) : "nothing"));
                {
                    const std::lock_guard lock(mutex);
                    sent.push_back({ at, response ? response->status() : 0 });
                }
                sleepUntil(at + pauseBetweenRequests);
            }
        });
    }
    sleepUntil(now() + 4);
    if (hasTrouble) {
        gateways[2].signal(SIGTERM);
        record.add("SIGTERM is sent to edge-b-1, which is removed");
        if (!waitFor(6, [&] { return gateways[2].hasEnded(); }))
            gateways[2].kill();
        record.add("edge-b-1 has ended");
    }
    sleepUntil(now() + 3);
    const auto killedAt = now();
    if (hasTrouble) {
        store.put("config", "main", configuration(2));
        record.add("acknowledged: version 2");
        for (auto& it : gateways)
            it.kill();
        record.add("all processes are killed");
        sleepUntil(now() + killedFor);
        gateways[0].start();
        gateways[1].start();
    }
    const bool isBack = waitFor(10, [&] { return gateways[0].isReady() && gateways[1].isReady(); });
    const auto backAt = now();
    record.add("the machines are back and ready");
    sleepUntil(backAt + recovery + observedFor);
    isOver = true;
    for (auto& it : callers)
        it.join();
    servers.join();
    for (auto& it : gateways)
        record.add("log of " + it.name() + "\n" + it.log());
    double before = 0;
    double after = 0;
    const auto textBefore = served(sent, trafficFrom, killedAt, before);
    const auto textAfter = served(sent, backAt + recovery, backAt + recovery + observedFor, after);
    const auto summary = "served before the final fault: " + textBefore + "; sent later than 15 s after the machines were back: " + textAfter;
    record.add(summary);
    std::cout << summary << std::endl;
    if (!isReady || !isBack || before < 0.25)
        return 2;
    return after < 0.25 ? 1 : 0;
}
