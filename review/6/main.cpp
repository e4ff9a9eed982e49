/// A gateway is added and killed once a second later; the platform starts it again. One tenant then sends 7.5 times its usual.
#include "../standin-2/quota_fleet.h"

using namespace quota;

namespace {

/// From the start of the gateway that is added.
constexpr double killAfterStartS = 1;
constexpr double restartDelayS = 0.5;
constexpr double hotAfterStartS = 2.5;

}

int main(int, char** argv)
{
    signal(SIGPIPE, SIG_IGN);
    Fleet fleet(argv[1]);
    if (fleet.begin() < 0)
        fleet.giveUp();
    const double startedAt = now();
    fleet.start(Fleet::added);
    fleet.send(usualPerS, startedAt + 0.2, startedAt + hotAfterStartS, 0, 3, 0x10);
    if (isTrouble()) {
        sleepUntil(startedAt + killAfterStartS);
        fleet.gateways[Fleet::added].process->end(SIGKILL);
        fleet.record.line("edge-a-2 is killed", true);
        sleepFor(restartDelayS);
        fleet.start(Fleet::added);
    }
    sleepUntil(startedAt + hotAfterStartS);
    fleet.record.line("the tenant sends 7.5 times its usual", true);
    fleet.send(usualPerS * hotFactor, now(), now() + hotForS, 0, 4, 0x20);
    fleet.end(startedAt);
}
