#include "gateway/search_delegation.h"

#include <doctest/doctest.h>

namespace lycheefield {

using namespace std::chrono_literals;

namespace {

/// Takes what a SearchDelegation reports to the other parts of its gateway.
struct OtherParts final : SearchDelegationEvents, StoreNewsEvents, QuotaMessageEvents {
    void onDelegationAnswered(DelegationId, const ForwardAnswer&) override { }
    void onDelegationFailed(DelegationId, bool) override { }
    bool onDelegationSilent(DelegationId) override { return false; }
    void onExtraAttemptsRequested(DelegationId, const std::vector<std::uint32_t>&) override { }
    void onCrashAnnounced(const CrashNews&) override { }
    bool canRun(const SearchCall&) const override { return false; }
    void runDelegated(const InstanceName&, const SearchCall&) override { }
    void onExtraAttemptsGranted(const InstanceName&, std::uint64_t) override { }
    void cancelDelegated(const InstanceName&, std::uint64_t) override { }
    void cancelAllDelegated(const InstanceName&) override { }
    void onNews(const InstanceName&, const StoreNews&) override { }
    void onStateRequested(const InstanceName&, const StoreStateRequest&) override { }
    void onStateRequestFailed(const StoreStateRequest&) override { }
    void onQuarantined(const CrashNews&) override { }
    void onQuotaCall(const InstanceName&, const QuotaCall&) override { }
    void onQuotaReply(const InstanceName&, const QuotaReply&) override { }
    void onQuotaCallUndelivered(std::uint64_t, UndeliveredReason reason) override { quotaReasons.push_back(reason); }
    void onRoleClaim(const InstanceName&, const RoleClaim&) override { }
    void onRoleClaimReply(const InstanceName&, const RoleClaimReply&) override { }
    void onRoleResignation(const InstanceName&, const RoleResignation&) override { }

    std::vector<UndeliveredReason> quotaReasons;
};

}

// Guards against an instance that avoids its peers for seconds because its own process lacked descriptors.
TEST_CASE("An instance that lacked the resources to call a peer goes on to choose that peer" * doctest::test_suite("gateway"))
{
    constexpr std::uint32_t logLinesPerSecond = 100;
    boost::asio::io_context io;
    auto strand = boost::asio::make_strand(io);
    const auto clock = std::make_shared<SteadyClock>();
    OtherParts parts;
    Metrics metrics;
    DecisionLog log(logLinesPerSecond);
    DelegateChooser chooser(InstanceName("a1"), ZoneName("a"));
    SearchDelegation delegation({ io, strand, clock, parts, metrics, log, parts }, chooser, InstanceName("a1"), ZoneName("a"));
    delegation.setQuotaEvents(parts);
    Instance peer;
    peer.name = InstanceName("b1");
    peer.zone = ZoneName("b");
    delegation.onPeers({ peer }, {});
    const auto failCalls = [&](UndeliveredReason reason) {
        delegation.onUndelivered(peer.name, SearchCall(), reason);
        delegation.onUndelivered(peer.name, QuotaCall(), reason);
        io.restart();
        io.run();
        REQUIRE(parts.quotaReasons.size() == 1);
        CHECK((parts.quotaReasons[0] == reason));
        return chooser.instanceFor(peer.zone, {}, clock->now());
    };

    SUBCASE("while a peer that can't be reached is avoided")
    {
        CHECK_FALSE(failCalls(UndeliveredReason::NoConnection));
    }
    SUBCASE("at once")
    {
        CHECK(failCalls(UndeliveredReason::NoLocalResources) == peer.name);
    }
}

}
