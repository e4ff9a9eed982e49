#include "base/buffer_limit.h"

#include <doctest/doctest.h>

#include <atomic>
#include <deque>
#include <thread>

namespace lycheefield {

namespace {

/// Connections whose buffers count for one limit of 1,000 bytes.
struct BufferFixture {
    BufferCharge& add(const std::string& owner, std::uint64_t bytes)
    {
        const auto number = charges.size();
        charges.emplace_back(limit, owner, [this, number] { evicted.push_back(number); });
        charges.back().set(bytes);
        return charges.back();
    }

    std::shared_ptr<BufferLimit> limit = std::make_shared<BufferLimit>(ByteCount { 1000 });
    std::vector<std::size_t> evicted; ///< The numbers of the charges, in the order in which they were added.
    std::deque<BufferCharge> charges;
};

}

TEST_SUITE_BEGIN("base");

TEST_CASE_FIXTURE(BufferFixture, "Buffers count together, and are released with their connection")
{
    add("x", 400);
    add("y", 600);
    CHECK(limit->bytes() == 1000);
    CHECK(evicted.empty());
    charges[0].set(100);
    CHECK(limit->bytes() == 700);
    charges.pop_back();
    CHECK(limit->bytes() == 100);
    CHECK(limit->peakBytes() == 1000);
    charges.clear();
    CHECK(limit->bytes() == 0);
}

TEST_CASE_FIXTURE(BufferFixture, "Beyond the limit a connection ends whose owner fills the memory")
{
    SUBCASE("its largest one")
    {
        add("x", 300);
        add("x", 400);
        add("x", 200);
        add("x", 101);
        CHECK(evicted == std::vector<std::size_t> { 1 });
    }
    SUBCASE("and not a larger one of an owner with few bytes")
    {
        add("sound", 150);
        for (int i = 0; i < 9; ++i)
            add("faulty", 100);
        CHECK(evicted.size() == 1);
        CHECK_FALSE(charges.front().isEvicted());
    }
    SUBCASE("however many connections it spreads its bytes over")
    {
        add("sound", 101);
        for (int i = 0; i < 90; ++i)
            add("faulty", 10);
        CHECK(evicted.size() == 1);
        CHECK_FALSE(charges.front().isEvicted());
    }
    SUBCASE("and not a small one of an owner with more bytes")
    {
        for (int i = 0; i < 60; ++i)
            add("busy", 10);
        add("faulty", 250);
        add("faulty", 151);
        CHECK(evicted == std::vector<std::size_t> { 60 });
    }
    SUBCASE("once, however many bytes follow until it has ended")
    {
        auto& first = add("x", 900);
        auto& second = add("x", 200);
        first.set(950);
        second.set(250);
        CHECK(evicted == std::vector<std::size_t> { 0 });
        CHECK(first.isEvicted());
        CHECK_FALSE(second.isEvicted());
        first.set(0);
        CHECK(limit->bytes() == 250);
        second.set(1000);
        CHECK(evicted.size() == 1);
        second.set(1001);
        CHECK(evicted == std::vector<std::size_t> { 0, 1 });
    }
    SUBCASE("and several at once when one is not enough")
    {
        add("x", 100);
        add("x", 90);
        add("x", 10);
        add("y", 1000);
        CHECK(evicted == std::vector<std::size_t> { 3 });
        add("z", 801);
        CHECK(evicted.size() == 2);
        limit->setMax(ByteCount { 50 });
        charges[2].set(11);
        CHECK(evicted.size() == 4);
    }
}

TEST_CASE_FIXTURE(BufferFixture, "Bytes that no connection can release are counted, and others end for them")
{
    BufferCharge held(limit, "searches", nullptr);
    held.set(900);
    add("x", 101);
    CHECK(evicted == std::vector<std::size_t> { 0 });
    held.set(2000);
    CHECK(evicted.size() == 1);
}

TEST_CASE_FIXTURE(BufferFixture, "The limit tells once whose connections it has ended")
{
    add("x", 600);
    add("x", 300);
    add("y", 150);
    add("x", 560);
    CHECK(limit->evictions() == 2);
    const auto taken = limit->takeEvictions();
    REQUIRE(taken.size() == 1);
    CHECK((taken[0] == BufferEvictions { "x", 2, 1160, 1460 }));
    CHECK(limit->takeEvictions().empty());
    CHECK(limit->evictions() == 2);
}

TEST_CASE("A connection without a limit counts nothing")
{
    BufferCharge charge(nullptr, "x", [] { FAIL("must not end"); });
    charge.set(1U << 31U);
    CHECK_FALSE(charge.isEvicted());
}

TEST_CASE("Buffers of several threads are counted exactly")
{
    constexpr int threads = 4;
    constexpr std::uint64_t changes = 2000;
    const auto limit = std::make_shared<BufferLimit>(ByteCount { 500 });
    std::atomic<int> evictions { 0 };
    std::vector<std::thread> running;
    for (int i = 0; i < threads; ++i) {
        running.emplace_back([&, i] {
            for (std::uint64_t n = 1; n <= changes; ++n) {
                BufferCharge charge(limit, "owner" + std::to_string(i), [&] { ++evictions; });
                charge.set(n % 300);
            }
        });
    }
    for (auto& it : running)
        it.join();
    CHECK(limit->bytes() == 0);
    CHECK(limit->evictions() == static_cast<std::uint64_t>(evictions.load()));
}

TEST_SUITE_END();

}
