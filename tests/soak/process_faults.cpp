#include "soak_test_bed.h"

#include <boost/asio/ip/tcp.hpp>

#include <csignal>
#include <sys/wait.h>

namespace lycheefield::soak {

using namespace std::chrono_literals;

namespace {

/// From SIGTERM to the end of a process, at most.
constexpr Duration stopLimit = 6s;

bool isCleanEnd(int status)
{
    const bool isKilled = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
    return isKilled || (WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

}

void SoakTestBed::applyFault(Node& node, Duration time, const std::function<void()>& begin, const std::function<void()>& end)
{
    node.disturbedUntil = never;
    begin();
    runAfter(time, [this, &node, end] {
        end();
        node.disturbedUntil = m_clock.now();
    });
}

void SoakTestBed::stopNode(Node& node, int signal)
{
    node.isExpectedToRun = false;
    // SIGTERM is a planned stop: the gateway still answers the requests that a server runs, so the gateway counts
    // as undisturbed until its process has ended.
    if (signal != SIGTERM)
        node.disturbedUntil = m_clock.now();
    node.process->signal(signal);
}

void SoakTestBed::startNode(Node& node)
{
    node.process->start();
    node.isExpectedToRun = true;
    node.disturbedUntil = m_clock.now();
    if (m_random.below(2) == 0)
        signalWhileStarting(node);
}

void SoakTestBed::signalWhileStarting(Node& node)
{
    // The program can take care of signals from its first statement on.
    if (!node.process->holdsOrCatchesSignals())
        return runAfter(1ms, [this, &node] { signalWhileStarting(node); });
    countFault("reload while starting", node.process->name());
    node.process->signal(SIGHUP);
}

void SoakTestBed::restartInGrace(Node& node)
{
    countFault("restart beside the stopping process", node.process->name());
    node.isExpectedToRun = false;
    node.disturbedUntil = never;
    node.process->signal(SIGTERM);
    runAfter(randomDuration(50ms, 1500ms), [this, &node] {
        // The stopping process may have ended already; watchProcesses() then starts the next one.
        if (node.isExpectedToRun || !node.process->isRunning() || node.process->hasPrevious())
            return;
        node.process->startBesidePrevious();
        node.isExpectedToRun = true;
    });
    runAfter(stopLimit + 500ms, [this, &node] { node.disturbedUntil = m_clock.now(); });
}

void SoakTestBed::openManyConnections(Node& node, Duration time)
{
    countFault("more connections than descriptors", node.process->name());
    const auto sockets = std::make_shared<std::vector<boost::asio::ip::tcp::socket>>();
    sockets->reserve(maxDescriptors);
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(node.process->callers().address), node.process->callers().port);
    for (std::size_t i = 0; i < maxDescriptors; ++i)
        sockets->emplace_back(m_io).async_connect(endpoint, [](const boost::system::error_code&) {});
    applyFault(
        node, time, [] {}, [sockets] { sockets->clear(); });
}

void SoakTestBed::watchProcesses()
{
    for (const auto& it : m_nodes) {
        if (const auto end = it->process->takePreviousExitStatus(); end && !isCleanEnd(*end))
            m_checker.fail("a gateway process ended with an error beside its next process");
        const auto end = it->process->takeExitStatus();
        if (!end)
            continue;
        if (it->isExpectedToRun || !isCleanEnd(*end))
            m_checker.fail("a gateway process exited unexpectedly or with an error");
        it->disturbedUntil = never;
        runAfter(randomDuration(100ms, 900ms), [this, node = it.get()] { startNode(*node); });
    }
    runAfter(20ms, [this] { watchProcesses(); });
}

void SoakTestBed::injectGatewayFault(Node& node)
{
    if (!node.process->isRunning() || !node.isExpectedToRun)
        return;
    const auto time = randomDuration(200ms, 4s);
    switch (m_random.below(15)) {
    case 13:
    case 14:
        return burstSearches(node, 1 + m_random.below(maxBursts));
    case 10:
    case 11:
        return restartInGrace(node);
    case 12:
        return openManyConnections(node, time);
    case 8:
    case 9:
        return pauseRepeatedly(node, 1 + m_random.below(12));
    case 0:
        countFault("kill", node.process->name());
        return stopNode(node, SIGKILL);
    case 1:
        countFault("terminate", node.process->name());
        return stopNode(node, SIGTERM);
    case 2:
        countFault("reload", node.process->name());
        return node.process->signal(SIGHUP);
    case 3:
        countFault("pause", node.process->name());
        return applyFault(
            node, time, [&] { node.process->signal(SIGSTOP); }, [&] { node.process->resume(); });
    case 4:
        countFault("store link blocked one way", node.process->name());
        return applyFault(
            node, time, [&] { node.storeLink->setFaults({ {}, false, true, false }); }, [&] { node.storeLink->setFaults({}); });
    case 5:
        countFault("store link refuses", node.process->name());
        return applyFault(
            node, time, [&] { node.storeLink->setFaults({ {}, false, false, true }); node.storeLink->reset(); }, [&] { node.storeLink->setFaults({}); });
    case 6:
        countFault("store link delayed", node.process->name());
        return applyFault(
            node, time, [&] { node.storeLink->setFaults({ 150ms, false, false, false }); }, [&] { node.storeLink->setFaults({}); });
    default:
        countFault("store link stalled permanently", node.process->name());
        node.storeLink->stall();
        node.disturbedUntil = m_clock.now();
    }
}

void SoakTestBed::pauseRepeatedly(Node& node, std::uint64_t times)
{
    if (times == 0 || !node.process->isRunning() || !node.isExpectedToRun)
        return;
    countFault("repeated short pauses", node.process->name());
    applyFault(
        node, randomDuration(20ms, 150ms), [&] { node.process->signal(SIGSTOP); },
        [this, &node, times] {
            node.process->resume();
            runAfter(randomDuration(10ms, 120ms), [this, &node, times] { pauseRepeatedly(node, times - 1); });
        });
}

}
