#include "daemon/claims_role.h"
#include "standin/platform_store.h"

#include <boost/asio/steady_timer.hpp>

#include <doctest/doctest.h>

#include <optional>
#include <set>

namespace lycheefield {

namespace {

/// Object store on the stand-in platform's state; calls its handlers on the test's io_context.
class StoreFake final : public ObjectStore {
public:
    explicit StoreFake(boost::asio::io_context& io)
        : m_io(io)
    {
    }

    void read(const std::string& key, ObjectHandler handler) override { respond(m_state.read(key, TimePoint {}), std::move(handler)); }
    void write(const std::string& key, ObjectVersion expected, const std::string& value, ObjectHandler handler) override
    {
        respond(m_state.write(key, expected, value, TimePoint {}), std::move(handler));
    }
    void list(const std::string&, ListHandler) override { }
    void watch(const std::string&, std::uint64_t, Duration, ListHandler) override { }

private:
    void respond(const standin::StoreResult& answer, ObjectHandler handler)
    {
        boost::asio::post(m_io, [answer, handler = std::move(handler)] { handler(standin::toStoreStatus(answer), answer.object); });
    }

    boost::asio::io_context& m_io;
    standin::PlatformStore m_state;
};

enum class Link : std::uint8_t {
    Up,
    Undeliverable, ///< Messages are returned to the sender unsent.
    ResponsesLost, ///< Calls arrive, responses do not.
    CallsHeld, ///< Calls stay unread at a paused instance.
};

struct Fleet;

/// Passes messages between the instances of a fleet.
class NetworkFake final : public PeerNetwork {
public:
    NetworkFake(Fleet& fleet, InstanceName self)
        : m_fleet(fleet)
        , m_self(std::move(self))
    {
    }

    void send(const InstanceName& to, PeerMessage) override;
    void reply(const InstanceName& to, PeerMessage) override;
    void broadcast(const PeerMessage&) override { }

private:
    Fleet& m_fleet;
    InstanceName m_self;
};

struct Fleet {
    explicit Fleet(const std::vector<std::string>& names, const ClaimForwardTimes& times = {})
        : store(std::make_shared<StoreFake>(io))
    {
        settings.partitions = 1;
        settings.batchWindow = {};
        settings.outcomeDelay = {};
        std::vector<Instance> instances;
        for (const auto& name : names)
            instances.push_back({ InstanceName(name), ProcessLife(stableHashOf(name)), {}, {}, ZoneName("hue-a"), InstanceHealth::Alive });
        view.publish(MembershipView(instances));
        for (const auto& name : names) {
            const InstanceName self(name);
            networks.push_back(std::make_unique<NetworkFake>(*this, self));
            auto driver = std::make_shared<ClaimDriver>(io, clock, store, makeClaimEngine(settings, std::make_unique<SeededRandom>(1)));
            roles[self] = std::make_shared<ClaimsRole>(ClaimsContext { io, clock, *networks.back(), view }, settings, self, driver, times);
        }
        owner = claimOwner(0, *view.read());
        for (const auto& [name, role] : roles) {
            if (name != owner)
                entry = name;
        }
    }

    static std::uint64_t stableHashOf(const std::string& name) { return std::hash<std::string> {}(name); }

    /// Starts a claim. The returned object receives the decision.
    std::shared_ptr<std::optional<ClaimDecided>> begin(const InstanceName& at, const std::string& key, Duration deadline = std::chrono::hours(1))
    {
        auto decided = std::make_shared<std::optional<ClaimDecided>>();
        const ClaimRequest request { { ProcessLife(stableHashOf(at.value())), ++requests }, IdempotencyKey(key), Fingerprint(1), clock->now() + deadline };
        roles[at]->claim(request, [decided](const ClaimDecided& it) { *decided = it; });
        return decided;
    }
    template <typename Condition>
    void runUntil(Condition isReached)
    {
        io.restart();
        while (!isReached() && io.run_one() > 0) { }
    }
    ClaimDecided claim(const InstanceName& at, const std::string& key)
    {
        const auto decided = begin(at, key);
        runUntil([&] { return decided->has_value(); });
        return decided->value();
    }
    void settleAll()
    {
        runUntil([&] {
            for (const auto& [name, role] : roles) {
                if (role->pending() > 0)
                    return false;
            }
            return true;
        });
    }

    boost::asio::io_context io { 1 };
    std::shared_ptr<SteadyClock> clock = std::make_shared<SteadyClock>();
    std::shared_ptr<StoreFake> store;
    ClaimSettings settings;
    Snapshot<MembershipView> view;
    std::vector<std::unique_ptr<NetworkFake>> networks;
    std::map<InstanceName, std::shared_ptr<ClaimsRole>> roles;
    InstanceName owner;
    InstanceName entry; ///< An instance that is not the owner.
    Link link = Link::Up;
    std::vector<std::function<void()>> heldResponses;
    std::vector<std::function<void()>> heldCalls;
    std::uint64_t requests = 0;
};

void NetworkFake::send(const InstanceName& to, PeerMessage message)
{
    boost::asio::post(m_fleet.io, [this, to, message = std::move(message)] {
        const auto& call = std::get<ClaimCall>(message);
        if (m_fleet.link == Link::Undeliverable)
            return m_fleet.roles[m_self]->onUndelivered(call);
        // The wire carries a deadline as the time left.
        auto deliver = [this, to, call = ClaimCall(call), left = call.request.deadline - m_fleet.clock->now()]() mutable {
            call.request.deadline = m_fleet.clock->now() + left;
            m_fleet.roles[to]->onCall(m_self, call);
        };
        if (m_fleet.link == Link::CallsHeld)
            m_fleet.heldCalls.emplace_back(std::move(deliver));
        else
            deliver();
    });
}

void NetworkFake::reply(const InstanceName& to, PeerMessage message)
{
    auto deliver = [this, to, message = std::move(message)] { m_fleet.roles[to]->onResponse(m_self, std::get<ClaimReply>(message)); };
    if (m_fleet.link == Link::ResponsesLost)
        m_fleet.heldResponses.emplace_back(std::move(deliver));
    else
        boost::asio::post(m_fleet.io, std::move(deliver));
}

}

TEST_SUITE_BEGIN("daemon");

TEST_CASE("Every instance computes the same owner of a partition, and a leaving instance moves only its own partitions")
{
    std::vector<Instance> instances;
    for (int i = 0; i < 9; ++i)
        instances.push_back({ InstanceName("entry-" + std::to_string(i)), ProcessLife(static_cast<std::uint64_t>(i)), {}, {}, ZoneName("hue-a"), InstanceHealth::Alive });
    const MembershipView whole(instances);
    instances.front().health = InstanceHealth::Leaving;
    const MembershipView without(instances);
    std::set<InstanceName> owners;
    for (std::uint32_t i = 0; i < 256; ++i) {
        const auto owner = claimOwner(i, whole);
        owners.insert(owner);
        CHECK(claimOwner(i, without) != instances.front().name);
        if (owner != instances.front().name)
            CHECK(claimOwner(i, without) == owner);
    }
    CHECK(owners.size() == 9);
    CHECK(claimOwner(0, MembershipView()).value().empty());
}

TEST_CASE("An instance forwards a claim to the owner of its partition")
{
    Fleet fleet({ "a", "b", "c" });
    const auto first = fleet.claim(fleet.entry, "order-1");
    REQUIRE(first.verdict == ClaimVerdict::Granted);
    CHECK(fleet.roles[fleet.entry]->forwardCounters().forwarded == 1);

    SUBCASE("The owner records the outcome, and every instance returns the recorded answer")
    {
        fleet.roles[fleet.entry]->recordOutcome(first.request, RunState::Ran, "done");
        fleet.settleAll();
        for (const auto& [name, role] : fleet.roles) {
            const auto again = fleet.claim(name, "order-1");
            CHECK(again.verdict == ClaimVerdict::AlreadyDone);
            CHECK(again.recordedAnswer == "done");
        }
    }
    SUBCASE("The owner releases the key, which can then be claimed again")
    {
        fleet.roles[fleet.entry]->release(first.request);
        fleet.settleAll();
        CHECK(fleet.claim(fleet.owner, "order-1").verdict == ClaimVerdict::Granted);
    }
    SUBCASE("A second claim is in progress while the request of the first one runs")
    {
        CHECK(fleet.claim(fleet.owner, "order-1").verdict == ClaimVerdict::InProgress);
    }
    SUBCASE("The forwarding instance writes the outcome when the owner is unreachable")
    {
        fleet.link = Link::Undeliverable;
        fleet.roles[fleet.entry]->recordOutcome(first.request, RunState::Ran, "done");
        fleet.settleAll();
        CHECK(fleet.claim(fleet.entry, "order-1").verdict == ClaimVerdict::AlreadyDone);
    }
    SUBCASE("The forwarding instance writes the outcome when the link breaks before the confirmation")
    {
        fleet.link = Link::ResponsesLost;
        fleet.roles[fleet.entry]->recordOutcome(first.request, RunState::Ran, "done");
        fleet.runUntil([&] { return !fleet.heldResponses.empty(); });
        fleet.roles[fleet.entry]->onLinkLost(fleet.owner);
        fleet.settleAll();
        fleet.link = Link::Undeliverable;
        CHECK(fleet.claim(fleet.entry, "order-1").verdict == ClaimVerdict::AlreadyDone);
    }
}

TEST_CASE("A paused owner does not grant a claim that it reads after the entry released the key")
{
    Fleet fleet({ "a", "b" });
    const ClaimRequest late { { ProcessLife(7), 1 }, IdempotencyKey("order-1"), Fingerprint(1), fleet.clock->now() + std::chrono::hours(1) };
    fleet.roles[fleet.entry]->onCall(fleet.owner, ClaimCall { late, RunState::NotRun, {} });
    fleet.settleAll();
    fleet.roles[fleet.owner]->onCall(fleet.entry, ClaimCall { late, std::nullopt, {} });
    fleet.settleAll();
    CHECK(fleet.roles[fleet.owner]->counters().granted == 0);
    CHECK(fleet.claim(fleet.owner, "order-1").verdict == ClaimVerdict::Granted);
}

TEST_CASE("An instance decides a claim itself when the owner is unreachable")
{
    Fleet fleet({ "a", "b" });
    fleet.link = Link::Undeliverable;
    CHECK(fleet.claim(fleet.entry, "order-1").verdict == ClaimVerdict::Granted);
    CHECK(fleet.roles[fleet.entry]->forwardCounters().undelivered == 1);
    fleet.link = Link::Up;
    CHECK(fleet.claim(fleet.owner, "order-1").verdict == ClaimVerdict::InProgress);
}

TEST_CASE("A claim is refused when the link breaks while the owner decides, and never granted in another way")
{
    const ClaimForwardTimes times { std::chrono::milliseconds(1), std::chrono::milliseconds(50), std::chrono::milliseconds(1) };
    Fleet fleet({ "a", "b" }, times);
    fleet.link = Link::ResponsesLost;
    const auto decided = fleet.begin(fleet.entry, "order-1", std::chrono::milliseconds(50));
    fleet.runUntil([&] { return !fleet.heldResponses.empty(); });
    fleet.roles[fleet.entry]->onLinkLost(fleet.owner);
    fleet.runUntil([&] { return decided->has_value(); });
    CHECK(decided->value().verdict == ClaimVerdict::StoreUnavailable);
    CHECK(fleet.roles[fleet.entry]->forwardCounters().unanswered == 1);

    SUBCASE("The key is released once the owner must have decided")
    {
        fleet.settleAll();
        fleet.link = Link::Up;
        CHECK(fleet.claim(fleet.owner, "order-1").verdict == ClaimVerdict::Granted);
    }
    SUBCASE("A late grant is released at once")
    {
        fleet.link = Link::Up;
        fleet.heldResponses.front()();
        fleet.settleAll();
        CHECK(fleet.roles[fleet.entry]->forwardCounters().lateGrants == 1);
        CHECK(fleet.claim(fleet.owner, "order-1").verdict == ClaimVerdict::Granted);
    }
}

TEST_CASE("The owner grants nothing when it reads the call after the claim was refused and the key released")
{
    ClaimForwardTimes times { std::chrono::milliseconds(1), std::chrono::hours(1), std::chrono::milliseconds(1) };
    bool isResponseLost = false;
    SUBCASE("The owner finds the release in the log") { }
    SUBCASE("The key is released a second time when the owner's response is lost and the claim is forgotten")
    {
        times.lateGrantMemory = std::chrono::milliseconds(100);
        isResponseLost = true;
    }
    Fleet fleet({ "a", "b" }, times);
    fleet.link = Link::CallsHeld;
    const auto decided = fleet.begin(fleet.entry, "order-1", std::chrono::milliseconds(20));
    fleet.runUntil([&] { return decided->has_value(); });
    CHECK(decided->value().verdict == ClaimVerdict::StoreUnavailable);
    fleet.settleAll();
    fleet.link = isResponseLost ? Link::ResponsesLost : Link::Up;
    fleet.heldCalls.front()();
    bool isForgotten = false;
    boost::asio::steady_timer forget(fleet.io, std::chrono::milliseconds(200));
    forget.async_wait([&](const boost::system::error_code&) { isForgotten = true; });
    fleet.runUntil([&] { return isForgotten; });
    CHECK(fleet.heldResponses.empty() != isResponseLost);
    fleet.link = Link::Up;
    fleet.settleAll();
    CHECK(fleet.roles[fleet.owner]->counters().granted == 0);
    CHECK(fleet.roles[fleet.entry]->forwardCounters().lateGrants == 0);
    CHECK(fleet.claim(fleet.owner, "order-1").verdict == ClaimVerdict::Granted);
}

TEST_CASE("A claim is refused at its deadline when the owner's response is lost")
{
    const ClaimForwardTimes times { std::chrono::milliseconds(1), std::chrono::milliseconds(50), std::chrono::milliseconds(1) };
    Fleet fleet({ "a", "b" }, times);
    fleet.link = Link::ResponsesLost;
    const auto decided = fleet.begin(fleet.entry, "order-1", std::chrono::milliseconds(20));
    fleet.runUntil([&] { return decided->has_value(); });
    CHECK(decided->value().verdict == ClaimVerdict::StoreUnavailable);
    fleet.settleAll();
    CHECK(fleet.claim(fleet.owner, "order-1").verdict == ClaimVerdict::Granted);
}

TEST_SUITE_END();

}
