#include "claims/claim_engine.h"
#include "cli/program_options.h"
#include "daemon/claim_driver.h"
#include "platform/http_object_store.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <mutex>
#include <thread>

using namespace lycheefield;

namespace {

struct Options {
    std::uint16_t port = 0;
    std::uint32_t instances = 9;
    double rate = 1200;
    double seconds = 5;
    double warmUpSeconds = 1;
    std::uint64_t seed = 1;
    bool isForwarded = false;
    std::int64_t hopUs = 0;
    std::int64_t runUs = 10000;
    std::int64_t windowUs = ClaimSettings().batchWindow.count();
    std::uint32_t threads = 2;
    ClaimSettings claims;
    std::optional<LogFormat> logFormat;
};

struct Measurements {
    std::mutex mutex;
    std::vector<Duration> addedLatencies;
    std::uint64_t requested = 0;
    std::uint64_t granted = 0;
};

/// Claims keys at a fixed mean rate, each at a random instance, and settles each granted claim after `runUs`.
///
/// An instance is a claim driver with its own platform client. With `isForwarded`, a claim goes to the
/// instance that owns its partition, `hopUs` away in each direction; otherwise the entry instance claims the key.
class ClaimLoad {
public:
    explicit ClaimLoad(const Options& options)
        : m_options(options)
        , m_clock(std::make_shared<SteadyClock>())
        , m_random(options.seed)
        , m_arrival(m_io)
    {
        PlatformClientSettings platform;
        platform.endpoint = { "127.0.0.1", options.port };
        platform.readsPerSecond = platform.writesPerSecond = 100000;
        for (std::uint32_t i = 0; i < options.instances; ++i) {
            m_clients.push_back(std::make_shared<PlatformClient>(m_io.get_executor(), platform));
            auto store = std::make_shared<HttpObjectStore>(m_clients.back());
            auto engine = makeClaimEngine(options.claims, std::make_unique<SeededRandom>(m_random.next()));
            m_drivers.push_back(std::make_shared<ClaimDriver>(m_io, m_clock, store, std::move(engine)));
            m_lives.emplace_back(m_random.next());
        }
    }

    void run()
    {
        m_next = m_clock->now();
        m_measureFrom = m_next + toDuration(m_options.warmUpSeconds);
        m_end = m_measureFrom + toDuration(m_options.seconds);
        scheduleArrival();
        std::vector<std::thread> threads;
        for (std::uint32_t i = 0; i < m_options.threads; ++i)
            threads.emplace_back([this] { m_io.run(); });
        for (auto& it : threads)
            it.join();
    }

    void report()
    {
        std::uint64_t writes = 0;
        std::uint64_t reads = 0;
        std::uint64_t bytes = 0;
        ClaimCounters sum;
        for (std::size_t i = 0; i < m_drivers.size(); ++i) {
            const auto calls = m_clients[i]->counters();
            writes += calls.writes - m_countersBefore[i].writes;
            reads += calls.reads - m_countersBefore[i].reads;
            bytes += calls.bytesSent - m_countersBefore[i].bytesSent;
            sum.conflicts += m_drivers[i]->counters().conflicts;
            sum.segmentsSealed += m_drivers[i]->counters().segmentsSealed;
        }
        auto& addedLatencies = m_measurements.addedLatencies;
        std::sort(addedLatencies.begin(), addedLatencies.end());
        const auto at = [&](double share) { return addedLatencies.empty() ? 0.0 : static_cast<double>(addedLatencies[static_cast<std::size_t>(share * static_cast<double>(addedLatencies.size() - 1))].count()) / 1000; };
        const auto requested = static_cast<double>(m_measurements.requested);
        std::cout << "requests=" << m_measurements.requested << " granted=" << m_measurements.granted << " writes_per_s=" << static_cast<double>(writes) / m_options.seconds
                  << " reads_per_request=" << static_cast<double>(reads) / requested << " conflicts=" << sum.conflicts << " sealed=" << sum.segmentsSealed
                  << " mb_sent_per_s=" << static_cast<double>(bytes) / m_options.seconds / 1e6 << " p50_added_ms=" << at(0.5)
                  << " writes_per_request=" << static_cast<double>(writes) / requested << " p99_added_ms=" << at(0.99) << '\n';
    }

private:
    static Duration toDuration(double seconds) { return Duration(static_cast<std::int64_t>(seconds * 1e6)); }

    void scheduleArrival()
    {
        m_next += toDuration(-std::log(1 - m_random.unit()) / m_options.rate);
        if (m_next >= m_measureFrom && m_countersBefore.empty()) {
            for (const auto& it : m_clients)
                m_countersBefore.push_back(it->counters());
        }
        if (m_next >= m_end)
            return finish();
        m_arrival.expires_after(m_next - m_clock->now());
        m_arrival.async_wait([this](const boost::system::error_code&) {
            onArrival();
            scheduleArrival();
        });
    }

    void finish()
    {
        // Claims in flight get this time to settle, so that their writes are counted.
        m_arrival.expires_after(std::chrono::milliseconds(500));
        m_arrival.async_wait([this](const boost::system::error_code&) { m_io.stop(); });
    }

    void onArrival()
    {
        const auto entry = m_random.below(m_options.instances);
        ClaimRequest request;
        request.request = { m_lives[entry], ++m_count };
        request.key = IdempotencyKey("order-" + std::to_string(m_options.seed) + "-" + std::to_string(m_count));
        request.fingerprint = Fingerprint(m_count);
        request.deadline = m_next + std::chrono::seconds(2);
        const auto intended = m_next;
        const auto owner = m_options.isForwarded ? claimPartitionOf(request.key, m_options.claims) % m_options.instances : entry;
        const bool isRemote = owner != entry;
        runAfter(isRemote ? Duration(m_options.hopUs) : Duration {}, [this, request, intended, owner, isRemote] {
            m_drivers[owner]->claim(request, [this, request, intended, owner, isRemote](const ClaimDecided& decided) {
                onDecided(decided, intended, isRemote);
                if (decided.verdict != ClaimVerdict::Granted)
                    return;
                runAfter(Duration(m_options.runUs + (isRemote ? 2 * m_options.hopUs : 0)), [this, request, owner] {
                    m_drivers[owner]->settle(request, RunState::Ran, R"({"run":"ran","results":[{"shard":1,"result":{"quote":12345}}]})");
                });
            });
        });
    }

    void onDecided(const ClaimDecided& decided, TimePoint intended, bool isRemote)
    {
        if (intended < m_measureFrom)
            return;
        const std::lock_guard lock(m_measurements.mutex);
        ++m_measurements.requested;
        if (decided.verdict == ClaimVerdict::Granted)
            ++m_measurements.granted;
        m_measurements.addedLatencies.push_back(m_clock->now() - intended + (isRemote ? Duration(m_options.hopUs) : Duration {}));
    }

    template <typename Function>
    void runAfter(Duration duration, Function function)
    {
        if (duration == Duration {})
            return function();
        auto timer = std::make_shared<boost::asio::steady_timer>(m_io, duration);
        timer->async_wait([timer, function](const boost::system::error_code&) { function(); });
    }

    Options m_options;
    boost::asio::io_context m_io;
    std::shared_ptr<SteadyClock> m_clock;
    SeededRandom m_random;
    boost::asio::steady_timer m_arrival;
    std::vector<std::shared_ptr<PlatformClient>> m_clients;
    std::vector<std::shared_ptr<ClaimDriver>> m_drivers;
    std::vector<ProcessLife> m_lives;
    std::vector<PlatformCounters> m_countersBefore;
    std::uint64_t m_count = 0;
    TimePoint m_next {};
    TimePoint m_measureFrom {};
    TimePoint m_end {};
    Measurements m_measurements;
};

}

int main(int argc, char** argv)
{
    CLI::App app("Claims idempotency keys at a fixed rate through several claim engines over HTTP and measures the cost.");
    Options options;
    addProgramOptions(app, options.logFormat);
    app.add_option("--platform-port", options.port, "Port of standin-platform on 127.0.0.1")->required();
    app.add_option("--instances", options.instances)->capture_default_str();
    app.add_option("--rate", options.rate, "Requests a second over all instances")->capture_default_str();
    app.add_option("--seconds", options.seconds, "Length of the measurement after the warm-up")->capture_default_str();
    app.add_option("--warm-up-seconds", options.warmUpSeconds)->capture_default_str();
    app.add_option("--seed", options.seed)->capture_default_str();
    app.add_flag("--forward", options.isForwarded, "Forward each claim to the instance that owns its partition");
    app.add_option("--hop-us", options.hopUs, "One-way delay between two instances, microseconds")->capture_default_str();
    app.add_option("--run-us", options.runUs, "Time from the grant to the outcome, microseconds")->capture_default_str();
    app.add_option("--window-us", options.windowUs, "batch_window, microseconds")->capture_default_str();
    app.add_option("--partitions", options.claims.partitions)->capture_default_str();
    app.add_option("--max-claims-per-head", options.claims.maxClaimsPerHead)->capture_default_str();
    app.add_option("--threads", options.threads)->capture_default_str();
    if (const auto code = parseArguments(app, argc, argv, std::cout, std::cerr))
        return static_cast<int>(*code);
    options.claims.batchWindow = Duration(options.windowUs);
    setUpLogging(options.logFormat.value_or(LogFormat::Text));
    ClaimLoad load(options);
    load.run();
    load.report();
    return 0;
}
