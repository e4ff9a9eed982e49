/// A gateway is added, and in a drill the store comes back from a copy that is older than the new gateway's object. One tenant then sends
/// 7.5 times its usual.
#include "../standin-2/quota_fleet.h"

using namespace quota;

namespace {

/// From the former keeper's list of the gateways, which it repeats after 9 to 11 s.
constexpr double addAfterListS = 1;
constexpr double awayAfterListS = 8;
constexpr double backAfterListS = 9;
/// From the start of the gateway that is added.
constexpr double hotAfterStartS = 13.8;

}

int main(int, char** argv)
{
    signal(SIGPIPE, SIG_IGN);
    Fleet fleet(argv[1]);
    const double listedAt = fleet.begin();
    if (listedAt < 0)
        fleet.giveUp();
    sleepUntil(listedAt + addAfterListS);
    fleet.store.keepCopy();
    const double startedAt = now();
    fleet.start(Fleet::added);
    fleet.send(usualPerS, startedAt + 0.2, startedAt + hotAfterStartS, 0, 3, 0x10);
    if (isTrouble()) {
        sleepUntil(listedAt + awayAfterListS);
        for (auto& it : fleet.gateways)
            *it.storeMode = Store::Resets;
        fleet.record.line("the store is away", true);
        sleepUntil(listedAt + backAfterListS);
        fleet.store.restore();
        for (auto& it : fleet.gateways)
            *it.storeMode = Store::Serves;
        fleet.record.line("the store is back from its copy", true);
        while (!fleet.store.has("gateways", "edge-a-2") && now() < startedAt + hotAfterStartS)
            sleepFor(0.01);
        fleet.record.line("edge-a-2 has written its object again", true);
    }
    sleepUntil(startedAt + hotAfterStartS);
    fleet.record.line("the tenant sends 7.5 times its usual", true);
    fleet.send(usualPerS * hotFactor, now(), now() + hotForS, 0, 4, 0x20);
    fleet.end(startedAt);
}
