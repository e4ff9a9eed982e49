#include "fault_matrix/cell.h"

namespace lycheefield::fault_matrix {

using namespace std::chrono_literals;

namespace {

constexpr Duration settleTime = 500ms;
constexpr Duration faultTime = 6s;
constexpr std::size_t entry = 0;
constexpr auto crashBody = "crash-server please";

/// The instance that runs the first shard's legs for the entry, unless that is the entry itself.
std::size_t relayOf(const RequestWorld& world)
{
    const auto owner = world.ownerOf(0, 0, entry);
    return owner == entry || owner >= RequestWorld::instances ? (entry + 1) % RequestWorld::instances : owner;
}

void sendCrashRequests(RequestWorld& world)
{
    for (std::size_t i = 0; i < 2 * RequestWorld::instances; ++i)
        world.timeline().after(300ms * i, [&world, i] { world.send(i % RequestWorld::instances, RequestKind::Search, "/search", crashBody, ""); });
}

void disturbStore(RequestWorld& world, const standin::PlatformFaults& faults)
{
    world.store().setFaults(faults);
    world.timeline().after(faultTime, [&world] { world.store().setFaults({}); });
}

void bringAbout(RequestWorld& world, Fault fault, const Cell& cell)
{
    standin::PlatformFaults faults;
    switch (fault) {
    case Fault::Straggler:
        world.server(0, 0).behaviour().slowFactor = 50;
        return;
    case Fault::ReplicaGone:
        return world.stopServer(0, 0, 1h);
    case Fault::Repartition:
        return world.repartition();
    case Fault::StoreDown:
        faults.outage = true;
        return disturbStore(world, faults);
    case Fault::StoreSlow:
        faults.delay = 400ms;
        return disturbStore(world, faults);
    case Fault::WriteAnswerLost:
        faults.loseWriteAnswers = 2;
        faults.lateWrites = 1;
        return disturbStore(world, faults);
    case Fault::LeaseHolderPaused:
        return world.pauseInstance(cell.operation == Operation::Order ? entry : relayOf(world), faultTime);
    case Fault::TwoOperators:
        world.changeRules();
        return world.changeRules();
    case Fault::CrashRequest:
        return sendCrashRequests(world);
    case Fault::InstanceStoppedHard:
        return world.stopInstance(cell.seed % 2 ? relayOf(world) : entry, faultTime);
    case Fault::InstanceListStale:
        return world.staleView(relayOf(world), faultTime);
    case Fault::LinkCutOneWay:
        return world.cutLink(cell.seed % 2 ? relayOf(world) : entry, cell.seed % 2 ? entry : relayOf(world), faultTime);
    case Fault::ServerDraining:
        return world.drainServer(0, 0);
    case Fault::ServerAtConnectionCap:
        return world.fillConnections(0, 0, faultTime);
    }
}

void sendOne(RequestWorld& world, std::size_t instance, Operation operation, const std::string& name)
{
    if (operation == Operation::Record)
        return world.send(instance, RequestKind::Record, "/record", name, name);
    if (operation == Operation::Order)
        return world.send(instance, RequestKind::Order, "/order", name, name);
    world.send(instance, RequestKind::Search, "/search", name, "");
}

/// Requests of all kinds around the watched one, and the same order asked again elsewhere.
void addTraffic(RequestWorld& world)
{
    auto& timeline = world.timeline();
    for (int i = 0; i < 96; ++i) {
        // Bursts, so that servers' slots and connections fill.
        timeline.after(1s * (i / 32) + 300ms, [&world, i] { sendOne(world, i % RequestWorld::instances, Operation::Search, "burst " + std::to_string(i)); });
    }
    for (int i = 0; i < 60; ++i) {
        timeline.after(100ms * i + 7ms, [&world, i] { sendOne(world, i % RequestWorld::instances, Operation::Search, "search " + std::to_string(i)); });
        timeline.after(200ms * i + 13ms, [&world, i] { sendOne(world, (i + 1) % RequestWorld::instances, Operation::Order, "order " + std::to_string(i)); });
        timeline.after(200ms * i + 60ms, [&world, i] { sendOne(world, (i + 4) % RequestWorld::instances, Operation::Order, "order " + std::to_string(i)); });
    }
}

/// Rules change, or an instance that was away joins, under the requests of addTraffic.
void startControl(RequestWorld& world, const Cell& cell, const std::function<void()>& strike)
{
    auto& timeline = world.timeline();
    if (cell.operation == Operation::Apply)
        world.changeRules();
    for (const auto step : stepsOf(cell.operation)) {
        if (step != cell.step || step == Step::Before)
            continue;
        // The rules arrive, and the new instance is seen, 50 ms to 1 s after they are there.
        timeline.after(step == Step::Late ? 700ms : step == Step::FirstInForce || step == Step::Listed ? 250ms
                                                                                                       : 2ms,
            strike);
    }
}

void startOperation(RequestWorld& world, const Cell& cell)
{
    auto& timeline = world.timeline();
    if (cell.operation == Operation::Drain) {
        sendOne(world, entry, Operation::Search, "watched");
        sendOne(world, entry, Operation::Order, "watched order");
        timeline.after(1ms, [&world] { world.drainInstance(entry); });
        return;
    }
    sendOne(world, entry, cell.operation, "watched");
    if (cell.operation != Operation::Order)
        return;
    // The caller sends the same order again: at once, and once the deadline has passed.
    timeline.after(3ms, [&world] { sendOne(world, 1, Operation::Order, "watched"); });
    timeline.after(2500ms, [&world] { sendOne(world, 2, Operation::Order, "watched"); });
    timeline.after(8s, [&world] { sendOne(world, 3, Operation::Order, "watched"); });
}

}

std::vector<std::string> runRequestCell(const Cell& cell)
{
    RequestWorld world({ cell.seed, cell.mutation });
    auto& timeline = world.timeline();
    timeline.runUntil(timeline.now() + settleTime);
    constexpr Duration absence = 6s;
    if (cell.operation == Operation::Join) {
        world.stopInstance(relayOf(world), absence);
        timeline.runUntil(timeline.now() + absence - settleTime);
    }
    addTraffic(world);
    timeline.runUntil(timeline.now() + settleTime);
    bool isBroughtAbout = false;
    const auto strike = [&] {
        if (std::exchange(isBroughtAbout, true))
            return;
        for (const auto it : cell.faults)
            bringAbout(world, it, cell);
    };
    world.watch([&](Step step) {
        // Brought about as an event of its own: an engine that is being called must not be replaced.
        if (step == cell.step && !isBroughtAbout)
            timeline.after(Duration(0), strike);
    });
    if (cell.step == Step::Before)
        strike();
    const bool isControl = cell.operation == Operation::Apply || cell.operation == Operation::Join;
    if (isControl) {
        startControl(world, cell, strike);
    } else {
        if (cell.step == Step::Started)
            timeline.after(2ms, strike);
        if (cell.step == Step::Late)
            timeline.after(700ms, strike);
        startOperation(world, cell);
    }
    timeline.runUntil(timeline.now() + 15s);
    auto violations = world.history().violations(timeline.now());
    if (!isBroughtAbout)
        violations.push_back("the step was never reached");
    if (cell.operation == Operation::Drain && !world.isGone(entry) && !world.hasRestarted(entry))
        violations.push_back("the draining instance did not go");
    return violations;
}

}
