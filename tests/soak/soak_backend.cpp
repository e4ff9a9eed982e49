#include "soak_backend.h"

#include "base/clock.h"
#include "forward/record_merge.h"

#include <iostream>
#include <utility>

namespace lycheefield::soak {

namespace {

constexpr unsigned misdirected = 421;
constexpr unsigned unavailable = 503;
constexpr unsigned failed = 500;
constexpr std::size_t recordsPerPart = 4;
constexpr Duration downTime = std::chrono::seconds(2);
constexpr Duration limitWindow = std::chrono::seconds(4);
/// Tolerance of the limit: a factor, and requests in addition.
constexpr double limitFactor = 1.5;
constexpr double limitExtra = 5;
constexpr Duration maxExtraWork = std::chrono::milliseconds(50);
constexpr Duration maxTimeToCrash = std::chrono::milliseconds(100);

}

SoakBackend::SoakBackend(boost::asio::io_context& io, std::string service, std::string name, std::string zone, GuaranteeChecker& promises, CrashingRequests& crashing, RandomSource& random)
    : m_io(io)
    , m_service(std::move(service))
    , m_name(std::move(name))
    , m_zone(std::move(zone))
    , m_checker(promises)
    , m_crashing(crashing)
    , m_random(random)
    , m_server(io, *this, std::make_shared<SteadyClock>(), std::make_shared<HttpServerCounters>())
    , m_link(std::make_unique<FaultLink>(io, m_server.listen({ "127.0.0.1", 0 }).value()))
{
}

std::string SoakBackend::entry(bool isDraining) const
{
    return R"({"service":")" + m_service + R"(","address":")" + m_link->endpoint().toString() + R"(","zone":")" + m_zone
        + R"(","version":"v1","slots":4,"state":")" + (isDraining ? "draining" : "ready") + R"(","warmupLeftMs":0,"sequence":)" + std::to_string(++m_sequence) + "}";
}

HttpResponse SoakBackend::run(const HttpRequest& request)
{
    const std::string id(request.headers.find("Lycheefield-Attempt-Id"));
    ServerRun run { m_service, m_name, m_name + "." + std::to_string(++m_runs), id, request.method, request.target, request.body, {}, 200 };
    for (std::size_t i = 0; i < recordsPerPart * recordBytes; ++i)
        run.body += static_cast<char>('a' + m_random.below(26));
    if (m_random.unit() < m_faults.failProbability)
        run.status = failed;
    m_checker.onRun(run);
    HttpResponse response { run.status, "application/octet-stream", run.body };
    response.headers.add("Lycheefield-Response-Stamp", run.signature);
    response.headers.add("Lycheefield-Attempt-Id", id);
    if (m_limit)
        response.headers.add("Server-Limit", std::to_string(*m_limit));
    return response;
}

void SoakBackend::setLimit(std::optional<double> limit)
{
    m_limit = limit;
    m_limitCheckedFrom = never;
    m_arrivals.clear();
    m_hasPrintedArrivals = false;
}

void SoakBackend::countForLimit(const std::string& id)
{
    const auto now = SteadyClock().now();
    if (!m_limit || now < m_limitCheckedFrom)
        return;
    m_arrivals.push_back({ now, id });
    while (m_arrivals.front().at < now - limitWindow)
        m_arrivals.pop_front();
    const auto allowed = limitFactor * *m_limit * std::chrono::duration<double>(limitWindow).count() + limitExtra;
    if (static_cast<double>(m_arrivals.size()) <= allowed)
        return;
    m_checker.fail("a server got more requests than the limit that it advertises allows");
    printArrivals();
}

void SoakBackend::printArrivals()
{
    if (std::exchange(m_hasPrintedArrivals, true))
        return;
    std::cerr << "violation: " << m_name << " got more requests than its limit allows, at_us and request:";
    for (const auto& it : m_arrivals)
        std::cerr << ' ' << it.at.time_since_epoch().count() << ' ' << it.id;
    std::cerr << '\n';
}

void SoakBackend::crash()
{
    if (std::exchange(m_isDown, true))
        return;
    m_link->crash(downTime);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, downTime);
    timer->async_wait([this, timer](const boost::system::error_code&) { m_isDown = false; });
}

void SoakBackend::runCrashing(const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange)
{
    m_crashing.onArrival(std::string(request.headers.find("Lycheefield-Attempt-Id")), request.target);
    // The server crashes although the caller may have left meanwhile.
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, Duration(static_cast<Duration::rep>(m_random.below(maxTimeToCrash.count()))));
    timer->async_wait([this, timer, exchange, target = request.target](const boost::system::error_code&) {
        if (m_isDown)
            return;
        m_crashing.onCrash(target, SteadyClock().now());
        crash();
    });
}

void SoakBackend::handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    const bool isTarget = request.headers.find("Lycheefield-Target-Instance") == m_name;
    if (!isTarget || m_random.unit() < m_faults.refuseProbability) {
        HttpResponse response { isTarget ? unavailable : misdirected, "text/plain", "" };
        response.headers.add("Lycheefield-Not-Executed", "1");
        return exchange->respond(std::move(response));
    }
    countForLimit(std::string(request.headers.find("Lycheefield-Attempt-Id")));
    if (SteadyClock().now() > zoneDrainDeadline)
        m_checker.fail("a server received a request after the limit on the drain of its zone had passed");
    if (CrashingRequests::isOne(request))
        return runCrashing(request, exchange);
    if (SteadyClock().now() > drainDeadline)
        m_checker.fail("a server received a request after the drain limit had passed");
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, m_faults.work + Duration(static_cast<Duration::rep>(m_random.below(maxExtraWork.count()))));
    const bool isLost = m_random.unit() < m_faults.loseProbability;
    // The timer keeps the exchange alive, so that a lost response leaves the connection open without a response.
    timer->async_wait([timer, exchange, isLost, response = run(request)](const boost::system::error_code&) mutable {
        if (!isLost)
            return exchange->respond(std::move(response));
        timer->expires_after(std::chrono::seconds(20));
        timer->async_wait([timer, exchange](const boost::system::error_code&) {});
    });
}

}
