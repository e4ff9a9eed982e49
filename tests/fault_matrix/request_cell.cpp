#include "fault_matrix/cell.h"

namespace lycheefield::fault_matrix {

using namespace std::chrono_literals;

namespace {

constexpr Duration startUpTime = 500ms;
constexpr Duration faultDuration = 6s;
constexpr std::size_t entry = 0;
constexpr auto crashBody = "crash-server please";

/// Returns the relay that runs the first shard's legs for the entry, or the instance after the entry when that relay is the entry itself.
std::size_t relayOf(const RequestTestBed& testBed)
{
    const auto owner = testBed.ownerOf(0, 0, entry);
    return owner == entry || owner >= RequestTestBed::instances ? (entry + 1) % RequestTestBed::instances : owner;
}

void sendCrashRequests(RequestTestBed& testBed)
{
    for (std::size_t i = 0; i < 2 * RequestTestBed::instances; ++i)
        testBed.timeline().after(300ms * i, [&testBed, i] { testBed.send(i % RequestTestBed::instances, RequestKind::Search, "/search", crashBody, ""); });
}

void disturbStore(RequestTestBed& testBed, const standin::PlatformFaults& faults)
{
    testBed.store().setFaults(faults);
    testBed.timeline().after(faultDuration, [&testBed] { testBed.store().setFaults({}); });
}

void injectFault(RequestTestBed& testBed, Fault fault, const Cell& cell)
{
    standin::PlatformFaults faults;
    switch (fault) {
    case Fault::Straggler:
        testBed.server(0, 0).behaviour().slowFactor = 50;
        return;
    case Fault::ReplicaDown:
        return testBed.stopServer(0, 0, 1h);
    case Fault::Repartition:
        return testBed.repartition();
    case Fault::StoreDown:
        faults.outage = true;
        return disturbStore(testBed, faults);
    case Fault::StoreSlow:
        faults.delay = 400ms;
        return disturbStore(testBed, faults);
    case Fault::WriteAnswerLost:
        faults.loseWriteAnswers = 2;
        faults.lateWrites = 1;
        return disturbStore(testBed, faults);
    case Fault::LeaseHolderPaused:
        return testBed.pauseInstance(cell.operation == Operation::Order ? entry : relayOf(testBed), faultDuration);
    case Fault::TwoOperators:
        testBed.changeRules();
        return testBed.changeRules();
    case Fault::CrashRequest:
        return sendCrashRequests(testBed);
    case Fault::InstanceKilled:
        return testBed.stopInstance(cell.seed % 2 ? relayOf(testBed) : entry, faultDuration);
    case Fault::InstanceListStale:
        return testBed.publishStaleView(relayOf(testBed), faultDuration);
    case Fault::LinkCutOneWay:
        return testBed.cutLink(cell.seed % 2 ? relayOf(testBed) : entry, cell.seed % 2 ? entry : relayOf(testBed), faultDuration);
    case Fault::ServerDraining:
        return testBed.drainServer(0, 0);
    case Fault::ServerAtConnectionCap:
        return testBed.fillConnections(0, 0, faultDuration);
    }
}

void sendOne(RequestTestBed& testBed, std::size_t instance, Operation operation, const std::string& name)
{
    if (operation == Operation::Record)
        return testBed.send(instance, RequestKind::Record, "/record", name, name);
    if (operation == Operation::Order)
        return testBed.send(instance, RequestKind::Order, "/order", name, name);
    testBed.send(instance, RequestKind::Search, "/search", name, "");
}

/// Sends searches and orders around the watched request, and each order a second time to another instance.
void addTraffic(RequestTestBed& testBed)
{
    auto& timeline = testBed.timeline();
    for (int i = 0; i < 96; ++i) {
        // The searches come in bursts, so that the slots and connections of the servers are all in use.
        timeline.after(1s * (i / 32) + 300ms, [&testBed, i] { sendOne(testBed, i % RequestTestBed::instances, Operation::Search, "burst " + std::to_string(i)); });
    }
    for (int i = 0; i < 60; ++i) {
        timeline.after(100ms * i + 7ms, [&testBed, i] { sendOne(testBed, i % RequestTestBed::instances, Operation::Search, "search " + std::to_string(i)); });
        timeline.after(200ms * i + 13ms, [&testBed, i] { sendOne(testBed, (i + 1) % RequestTestBed::instances, Operation::Order, "order " + std::to_string(i)); });
        timeline.after(200ms * i + 60ms, [&testBed, i] { sendOne(testBed, (i + 4) % RequestTestBed::instances, Operation::Order, "order " + std::to_string(i)); });
    }
}

/// Changes the rules, or lets a stopped instance join again, while the requests of addTraffic run.
void startControl(RequestTestBed& testBed, const Cell& cell, const std::function<void()>& injectFaults)
{
    auto& timeline = testBed.timeline();
    if (cell.operation == Operation::Apply)
        testBed.changeRules();
    for (const auto step : stepsOf(cell.operation)) {
        if (step != cell.step || step == Step::Before)
            continue;
        // publishViews delivers changed rules within 500 ms and a restarted instance within 1 s.
        timeline.after(step == Step::Late ? 700ms : step == Step::FirstInForce || step == Step::Listed ? 250ms
                                                                                                       : 2ms,
            injectFaults);
    }
}

void startOperation(RequestTestBed& testBed, const Cell& cell)
{
    auto& timeline = testBed.timeline();
    if (cell.operation == Operation::Drain) {
        sendOne(testBed, entry, Operation::Search, "watched");
        sendOne(testBed, entry, Operation::Order, "watched order");
        timeline.after(1ms, [&testBed] { testBed.drainInstance(entry); });
        return;
    }
    sendOne(testBed, entry, cell.operation, "watched");
    if (cell.operation != Operation::Order)
        return;
    // The caller sends the same order again: at once, and twice after the deadline.
    timeline.after(3ms, [&testBed] { sendOne(testBed, 1, Operation::Order, "watched"); });
    timeline.after(2500ms, [&testBed] { sendOne(testBed, 2, Operation::Order, "watched"); });
    timeline.after(8s, [&testBed] { sendOne(testBed, 3, Operation::Order, "watched"); });
}

}

std::vector<std::string> runRequestCell(const Cell& cell)
{
    RequestTestBed testBed({ cell.seed, cell.mutation });
    auto& timeline = testBed.timeline();
    timeline.runUntil(timeline.now() + startUpTime);
    constexpr Duration downTime = 6s;
    if (cell.operation == Operation::Join) {
        testBed.stopInstance(relayOf(testBed), downTime);
        timeline.runUntil(timeline.now() + downTime - startUpTime);
    }
    addTraffic(testBed);
    timeline.runUntil(timeline.now() + startUpTime);
    bool isInjected = false;
    const auto injectFaults = [&] {
        if (std::exchange(isInjected, true))
            return;
        for (const auto it : cell.faults)
            injectFault(testBed, it, cell);
    };
    testBed.watch([&](Step step) {
        // The fault is injected in an event of its own, because an engine must not be replaced during a call of it.
        if (step == cell.step && !isInjected)
            timeline.after(Duration(0), injectFaults);
    });
    if (cell.step == Step::Before)
        injectFaults();
    const bool isControl = cell.operation == Operation::Apply || cell.operation == Operation::Join;
    if (isControl) {
        startControl(testBed, cell, injectFaults);
    } else {
        if (cell.step == Step::Started)
            timeline.after(2ms, injectFaults);
        if (cell.step == Step::Late)
            timeline.after(700ms, injectFaults);
        startOperation(testBed, cell);
    }
    timeline.runUntil(timeline.now() + 15s);
    auto violations = testBed.history().violations(timeline.now());
    if (!isInjected)
        violations.push_back("the operation never reached the step of the fault");
    if (cell.operation == Operation::Drain && !testBed.isStopped(entry) && !testBed.hasRestarted(entry))
        violations.push_back("the draining instance did not stop");
    return violations;
}

}
