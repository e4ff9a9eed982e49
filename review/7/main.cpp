/// A gateway is added, and the store turns one of the other gateways away for 9 s. One tenant then sends 7.5 times its usual.
#include "../standin-2/quota_fleet.h"

using namespace quota;

namespace {

constexpr double outageS = 9;
/// From the former keeper's list of the gateways: the outage starts so long after it, so that its next list falls into the outage.
constexpr double outageAfterListS = 2.5;
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
    const double startedAt = now();
    fleet.start(Fleet::added);
    fleet.send(usualPerS, startedAt + 0.2, startedAt + hotAfterStartS, 0, 3, 0x10);
    if (isTrouble()) {
        auto& mode = *fleet.gateways[Fleet::formerKeeper].storeMode;
        sleepUntil(listedAt + outageAfterListS);
        mode = Store::Busy;
        fleet.record.line("the store turns edge-c-1 away with 503", true);
        sleepFor(outageS);
        mode = Store::Serves;
        fleet.record.line("the store serves edge-c-1 again", true);
    }
    sleepUntil(startedAt + hotAfterStartS);
    fleet.record.line("the tenant sends 7.5 times its usual", true);
    fleet.send(usualPerS * hotFactor, now(), now() + hotForS, 0, 4, 0x20);
    fleet.end(startedAt);
}
