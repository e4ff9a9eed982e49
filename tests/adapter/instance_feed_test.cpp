#include "instance_feed.h"

#include "decode.h"
#include "wire_callers.h"
#include "wire_servers.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace lycheefield {

namespace {

class LeastRandom final : public RandomSource {
public:
    std::uint64_t next() override { return 0; }
};

/// A store of one object. Thread safe.
class SharedObjectStore final : public ObjectStore {
public:
    void read(const std::string&, ObjectHandler) override { }
    void watch(const std::string&, std::uint64_t, Duration, ListHandler) override { }
    void list(const std::string&, ListHandler handler) override
    {
        WatchBatch batch;
        batch.status = StoreStatus::Ok;
        handler(batch);
    }
    void write(const std::string& key, ObjectVersion expected, const std::string& value, ObjectHandler handler) override
    {
        std::unique_lock lock(m_mutex);
        const bool isMet = expected == m_object.version;
        if (isMet)
            m_object = { key, { m_object.version.value + 1 }, value };
        m_expected.push_back(expected.value);
        const auto object = m_object;
        lock.unlock();
        m_written.notify_all();
        handler(isMet ? StoreStatus::Ok : StoreStatus::Conflict, object);
    }

    void replaceBy(const StoredObject& object)
    {
        const std::lock_guard lock(m_mutex);
        m_object = object;
    }
    /// Waits until there were that many writes, and returns the versions that they expected.
    std::vector<std::uint64_t> expectedVersions(std::size_t writes)
    {
        std::unique_lock lock(m_mutex);
        m_written.wait(lock, [&] { return m_expected.size() >= writes; });
        return m_expected;
    }
    StoredObject object()
    {
        const std::lock_guard lock(m_mutex);
        return m_object;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_written;
    StoredObject m_object;
    std::vector<std::uint64_t> m_expected;
};

}

// A first list that failed was repeated 1.5 s later, and all keepers of a fleet that had been restarted waited for that instance.
TEST_CASE("A first list of the instances that fails is repeated soon, and later ones at their period" * doctest::test_suite("adapter"))
{
    using namespace std::chrono_literals;
    CHECK(countDelay(0, 1) == 100ms);
    CHECK(countDelay(0, 3) == 400ms);
    CHECK(countDelay(0, 1000) == 1500ms);
    CHECK(countDelay(1, 0) == 1500ms);
    CHECK(countDelay(2, 0) == 10s);
    CHECK(countDelay(2, 5) == 10s);
}

TEST_CASE("An instance writes its object again when the store comes back from an older copy" * doctest::test_suite("adapter"))
{
    const WireCallers callers;
    const WireServers servers;
    Settings settings;
    settings.instance.name = InstanceName("g1");
    settings.gateway.callers = { "127.0.0.1", 0 };
    settings.gateway.readiness = { "127.0.0.1", 0 };
    Gateway gateway(settings, { callers, servers });
    REQUIRE(gateway.listen());
    const auto store = std::make_shared<SharedObjectStore>();
    InstanceFeed feed(gateway, store, settings.instance.name, std::make_unique<LeastRandom>());
    feed.start();
    std::thread thread([&] { gateway.run(); });
    CHECK(store->expectedVersions(1) == std::vector<std::uint64_t> { 0 });
    const auto startAgain = [&](const StoredObject& copy) {
        store->replaceBy(copy);
        boost::asio::post(gateway.executor(), [&] { feed.onNewEpoch(); });
    };

    SUBCASE("The copy lacks the object")
    {
        startAgain({});
        CHECK(store->expectedVersions(2) == std::vector<std::uint64_t> { 0, 0 });
        CHECK(decodeRefreshes(store->object().value) == 2);
        CHECK(decodeInstance(settings.instance.name, store->object().value).inner.port != 0);
    }
    SUBCASE("The copy holds an older object, and its version was given out before")
    {
        startAgain({ "", { 1 }, "{}" });
        CHECK(store->expectedVersions(3) == std::vector<std::uint64_t> { 0, 0, 1 });
        CHECK(decodeInstance(settings.instance.name, store->object().value).inner.port != 0);
    }
    gateway.stop();
    thread.join();
}

}
