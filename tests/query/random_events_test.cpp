#include "query_fixture.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

namespace lycheefield {

namespace {

/// Feeds random events to one engine and records what ran, to check the engine's answers against it.
class RandomEvents {
public:
    explicit RandomEvents(std::uint64_t seed)
        : m_fixture(6, {}, seed)
        , m_random(seed)
    {
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            step();
            collect();
        }
        m_fixture.advance(1s);
        collect();
        CHECK(m_fixture.engine->inFlight() == 0);
        CHECK(m_fixture.engine->nextWake() == never);
        for (const auto& [id, request] : m_requests)
            CHECK(request.answers == (request.callerDisconnected ? 0 : 1));
        const auto counters = m_fixture.engine->counters();
        CHECK(static_cast<double>(counters.hedges) <= 0.05 * static_cast<double>(counters.firstLegs) + 1e-6);
    }

private:
    struct Request {
        std::string path;
        int answers = 0;
        int mayHaveRun = 0; ///< Attempts that ran or may have run.
        bool reportedNotRun = false;
        bool callerDisconnected = false;
    };
    struct SentLeg {
        SendWork work;
        LegOrder leg;
        IndexVersion served; ///< Index version of the virtual server when the leg was sent.
    };

    void step()
    {
        const auto choice = m_random.below(100);
        if (choice < 12) {
            static const std::string paths[] = { "/search", "/tail", "/record", "/order" };
            const auto& path = paths[m_random.below(4)];
            const auto id = m_fixture.start(path, "key" + std::to_string(m_random.below(9)), m_random.below(20) == 0 ? "poison" : "body" + std::to_string(m_random.next()));
            m_requests[id].path = path;
        } else if (choice < 75) {
            endOne();
        } else if (choice < 96) {
            m_fixture.advance(Duration(m_random.below(8000)));
        } else if (choice < 97) {
            m_fixture.engine->onRelayDisconnected(InstanceName(m_random.below(2) ? "ra" : "rb"), m_fixture.now, m_fixture.actions);
        } else if (choice < 98) {
            m_version += m_random.below(2);
            m_fixture.setVersions({ IndexVersion(m_version) });
            if (m_random.below(4) == 0)
                m_fixture.services[0].epoch = PartitionEpoch(m_fixture.services[0].epoch.value() + 1);
        } else if (!m_requests.empty()) {
            auto it = std::next(m_requests.begin(), static_cast<std::ptrdiff_t>(m_random.below(m_requests.size())));
            const bool disconnected = m_random.below(2) == 0;
            if (it->second.answers == 0 && disconnected)
                it->second.callerDisconnected = true;
            m_fixture.engine->cancel(it->first, disconnected, m_fixture.now, m_fixture.actions);
        }
    }

    /// Ends a random attempt with a random outcome; about one result in ten is delivered twice.
    void endOne()
    {
        if (m_sent.empty())
            return;
        const auto index = m_random.below(m_sent.size());
        const auto sent = m_sent[index];
        m_sent.erase(m_sent.begin() + static_cast<std::ptrdiff_t>(index));
        auto result = resultOf(sent);
        if (!provesNotRun(result.outcome))
            recordRun(sent.work.work.request);
        m_fixture.send(result);
        collect();
        if (m_random.below(10) == 0)
            m_fixture.send(result);
    }

    LegResult resultOf(const SentLeg& sent)
    {
        static const LegOutcome others[] = { LegOutcome::Refused, LegOutcome::Expired, LegOutcome::VersionGone, LegOutcome::ShardMoved, LegOutcome::Failed,
            LegOutcome::Lost, LegOutcome::Cancelled };
        const bool isGood = m_random.below(100) < 85;
        auto result = m_fixture.resultOf(sent.work, sent.leg, isGood ? LegOutcome::Ok : others[m_random.below(std::size(others))]);
        if (*sent.work.work.body == "poison" && m_random.below(2) == 0) {
            result.outcome = LegOutcome::Lost;
            result.crashed = true;
        }
        if (isGood && m_random.below(40) == 0)
            result.version = IndexVersion(sent.work.work.version.value() + 1);
        result.body = bodyOf(sent.work.work.request, sent.leg.shard, result.version, result.epoch);
        return result;
    }

    static std::string bodyOf(const RequestId& id, ShardNumber shard, IndexVersion version, PartitionEpoch epoch)
    {
        return id.toString() + "/" + std::to_string(shard.value()) + "/" + std::to_string(version.value()) + "/" + std::to_string(epoch.value());
    }

    void recordRun(const RequestId& id)
    {
        auto& request = m_requests[id];
        ++request.mayHaveRun;
        CHECK_FALSE(request.reportedNotRun);
        if (request.path == "/order")
            CHECK(request.mayHaveRun <= 1);
    }

    void collect()
    {
        for (const auto& work : m_fixture.takeWork()) {
            for (const auto& leg : work.work.legs) {
                CHECK(m_requests[work.work.request].answers == 0);
                m_sent.push_back({ work, leg, IndexVersion(m_version) });
            }
        }
        m_fixture.takeCancels();
        for (const auto& answer : m_fixture.takeAnswers())
            check(answer);
    }

    void check(const Answer& answer)
    {
        auto& request = m_requests[answer.request];
        ++request.answers;
        CHECK(request.answers == 1);
        request.reportedNotRun = answer.runState == RunState::NotRun;
        if (request.reportedNotRun)
            CHECK(request.mayHaveRun == 0);
        for (const auto& it : answer.covered) {
            const bool isOrder = request.path == "/order";
            const auto expected = bodyOf(answer.request, it.shard, answer.version, answer.epoch);
            // An order that ran is answered whatever version it ran on.
            CHECK((isOrder || it.body == expected));
        }
        if (!answer.refusal && request.path[1] == 's')
            CHECK(answer.covered.size() * 4 >= (answer.covered.size() + answer.missing.size()) * 3);
    }

    QueryFixture m_fixture;
    SeededRandom m_random;
    std::uint64_t m_version = 10;
    std::map<RequestId, Request> m_requests;
    std::vector<SentLeg> m_sent;
};

}

TEST_CASE("Under random events each request gets exactly one answer, which matches what ran" * doctest::test_suite("query"))
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        RandomEvents(seed).run(1500);
    }
}

}
