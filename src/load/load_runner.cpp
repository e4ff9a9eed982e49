#include "load/load_runner.h"

#include "base/quantity_text.h"
#include "load/answer_check.h"
#include "load/call_history.h"
#include "load/caller_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cmath>
#include <map>

namespace lycheefield {

namespace asio = boost::asio;

namespace {

/// From an answer that does not confirm an order until the order is resent.
constexpr Duration resendPause { 200000 };

}

class LoadRunner::Impl {
public:
    Impl(LoadPlan plan, const Clock& clock)
        : m_plan(std::move(plan))
        , m_clock(clock)
        , m_random(m_plan.seed)
        , m_timer(m_io)
        , m_idle(m_plan.sides.size())
        , m_history(m_plan.historyPath)
    {
        for (std::size_t i = 0; i < m_plan.sides.size(); ++i)
            m_idle[i].resize(m_plan.sides[i].targets.size());
        for (const auto& it : m_plan.classes)
            m_totalWeight += it.weight;
    }

    std::vector<Observation> run()
    {
        m_start = m_clock.now();
        m_next = m_start;
        scheduleNext();
        m_io.run();
        m_isHistoryWritten = m_history.close();
        return std::move(m_observations);
    }

    bool isHistoryWritten() const { return m_isHistoryWritten; }

private:
    using Connection = std::shared_ptr<CallerConnection>;

    Duration slotLength() const { return m_plan.warmUp + m_plan.roundLength; }

    std::uint32_t sideAt(Duration elapsed) const { return static_cast<std::uint32_t>((elapsed / slotLength()) % static_cast<Duration::rep>(m_plan.sides.size())); }

    bool isWarmUp(Duration elapsed) const { return elapsed % slotLength() < m_plan.warmUp; }

    Duration wholeLength() const { return slotLength() * static_cast<Duration::rep>(m_plan.rounds * m_plan.sides.size()); }

    void scheduleNext()
    {
        const double gapSeconds = -std::log(1 - m_random.unit()) / m_plan.ratePerSecond;
        m_next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gapSeconds));
        if (m_next - m_start >= wholeLength())
            return;
        const auto wait = m_next - m_clock.now();
        if (wait <= Duration::zero()) {
            asio::post(m_io, [this] { sendNow(); });
            return;
        }
        m_timer.expires_after(wait);
        m_timer.async_wait([this](boost::system::error_code ec) {
            if (!ec)
                sendNow();
        });
    }

    std::uint32_t drawClass()
    {
        double at = m_random.unit() * m_totalWeight;
        for (std::uint32_t i = 0; i + 1 < m_plan.classes.size(); ++i) {
            at -= m_plan.classes[i].weight;
            if (at < 0)
                return i;
        }
        return static_cast<std::uint32_t>(m_plan.classes.size() - 1);
    }

    void sendNow()
    {
        Observation observation;
        observation.intended = m_next - m_start;
        observation.side = sideAt(observation.intended);
        observation.requestClass = drawClass();
        observation.target = static_cast<std::uint32_t>(m_sent % m_plan.sides[observation.side].targets.size());
        send(observation, m_next);
        scheduleNext();
    }

    void send(Observation observation, TimePoint intended)
    {
        const auto number = ++m_sent;
        const auto& requestClass = m_plan.classes[observation.requestClass];
        const auto connection = takeConnection(observation.side, observation.target);
        if (!connection)
            return record(std::move(observation));
        const std::string nonce = std::to_string(m_plan.seed) + "-" + std::to_string(number);
        const std::string body = "{\"nonce\":\"" + nonce + "\"}";
        if (requestClass.kind == RequestKind::Order)
            observation.body = nonce;
        auto call = makeCall(requestClass, m_plan.sides[observation.side].targets[observation.target], nonce, body);
        connection->post(requestClass.path, makeHeaders(requestClass, nonce), body, [this, observation, intended, connection, call](const CallerConnection::Answer& answer) {
            finishObservation(observation, intended, connection, call.body, answer);
            finishCall(call, answer, observation.requestClass, observation.side, m_plan.resends);
        });
    }

    ObservedCall makeCall(const RequestClass& requestClass, const Endpoint& target, const std::string& nonce, const std::string& body) const
    {
        const auto now = m_clock.now();
        const auto deadline = requestClass.deadline.count() ? now + requestClass.deadline : never;
        return { target, requestClass.kind, requestClass.kind == RequestKind::Order ? nonce : std::string(), body, now, deadline, never, {} };
    }

    /// Records the call, and resends an order to another target unless the answer confirms it.
    void finishCall(ObservedCall call, const CallerConnection::Answer& answer, std::uint32_t requestClass, std::uint32_t side, std::uint32_t resendsLeft)
    {
        call.answered = m_clock.now();
        call.answer = answer;
        m_history.add(call);
        const bool isConfirmed = answer.arrived && checkAnswer(answer.status, answer.body, call.body).outcome == LoadOutcome::Complete;
        if (call.kind != RequestKind::Order || isConfirmed || !resendsLeft)
            return;
        const auto timer = std::make_shared<asio::steady_timer>(m_io, resendPause);
        timer->async_wait([this, timer, call, requestClass, side, resendsLeft](boost::system::error_code) { resend(call, requestClass, side, resendsLeft - 1); });
    }

    void resend(const ObservedCall& last, std::uint32_t classNumber, std::uint32_t side, std::uint32_t resendsLeft)
    {
        const auto& requestClass = m_plan.classes[classNumber];
        const auto call = makeCall(requestClass, otherTarget(side, last.target), last.key, last.body);
        const auto connection = CallerConnection::create(m_io, call.target, m_plan.timeout);
        connection->post(requestClass.path, makeHeaders(requestClass, call.key), call.body, [this, connection, call, classNumber, side, resendsLeft](const CallerConnection::Answer& answer) {
            finishCall(call, answer, classNumber, side, resendsLeft);
        });
    }

    Endpoint otherTarget(std::uint32_t side, const Endpoint& last)
    {
        const auto& loadSide = m_plan.sides[side];
        const auto& targets = loadSide.resendTargets.empty() ? loadSide.targets : loadSide.resendTargets;
        const auto& first = targets[++m_resent % targets.size()];
        return first == last ? targets[++m_resent % targets.size()] : first;
    }

    CallerConnection::Headers makeHeaders(const RequestClass& requestClass, const std::string& nonce) const
    {
        CallerConnection::Headers headers;
        if (requestClass.deadline.count())
            headers.emplace_back("X-Deadline-Ms", formatMilliseconds(requestClass.deadline));
        if (requestClass.kind == RequestKind::Record)
            headers.emplace_back("X-Record-Key", nonce);
        if (requestClass.kind == RequestKind::Order)
            headers.emplace_back("Idempotency-Key", nonce);
        return headers;
    }

    void finishObservation(Observation observation, TimePoint intended, const Connection& connection, const std::string& body, const CallerConnection::Answer& answer)
    {
        observation.latency = m_clock.now() - intended;
        observation.status = answer.status;
        if (answer.arrived) {
            const auto checked = checkAnswer(answer.status, answer.body, body);
            observation.outcome = checked.outcome;
            observation.why = checked.why;
        } else if (answer.wasNotSent) {
            observation.outcome = LoadOutcome::NotSent;
            observation.why = "no descriptor, port or memory";
        } else {
            observation.outcome = LoadOutcome::Cut;
            observation.why = "no answer";
        }
        if (connection->isUsable())
            m_idle[observation.side][observation.target].push_back(connection);
        else
            --m_connections;
        record(std::move(observation));
    }

    void record(Observation observation)
    {
        if (!isWarmUp(observation.intended))
            m_observations.push_back(std::move(observation));
    }

    Connection takeConnection(std::uint32_t side, std::uint32_t target)
    {
        auto& idle = m_idle[side][target];
        if (!idle.empty()) {
            auto connection = idle.back();
            idle.pop_back();
            return connection;
        }
        if (m_connections >= m_plan.maxConnections)
            return nullptr;
        ++m_connections;
        return CallerConnection::create(m_io, m_plan.sides[side].targets[target], m_plan.timeout);
    }

    LoadPlan m_plan;
    const Clock& m_clock;
    SeededRandom m_random;
    asio::io_context m_io;
    asio::steady_timer m_timer;
    std::vector<std::vector<std::vector<Connection>>> m_idle;
    std::vector<Observation> m_observations;
    double m_totalWeight = 0;
    TimePoint m_start;
    TimePoint m_next;
    std::uint64_t m_sent = 0;
    std::size_t m_connections = 0;
    CallHistory m_history;
    std::size_t m_resent = 0;
    bool m_isHistoryWritten = false;
};

LoadRunner::LoadRunner(LoadPlan plan, const Clock& clock)
    : m_impl(std::make_unique<Impl>(std::move(plan), clock))
{
}

LoadRunner::~LoadRunner() = default;

std::vector<Observation> LoadRunner::run()
{
    return m_impl->run();
}

bool LoadRunner::isHistoryWritten() const
{
    return m_impl->isHistoryWritten();
}

}
