#include "gateway/process_setup.h"

#include "observe/log_text.h"

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <cstdlib>
#include <exception>
#include <string>

namespace lycheefield {

namespace {

constexpr int mmapThresholdBytes = 256 * 1024;
constexpr int trimThresholdBytes = 1024 * 1024;

std::string textOfCurrentException()
{
    try {
        if (const auto current = std::current_exception())
            std::rethrow_exception(current);
    } catch (const std::exception& ex) {
        return std::string("uncaught exception: ") + ex.what();
    } catch (...) {
        return "uncaught exception of unknown type";
    }
    return "terminated without an exception";
}

}

HeldSignals::HeldSignals()
{
    sigset_t held;
    sigemptyset(&held);
    for (const int it : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&held, it);
    pthread_sigmask(SIG_BLOCK, &held, &m_before);
}

HeldSignals::~HeldSignals()
{
    pthread_sigmask(SIG_SETMASK, &m_before, nullptr);
}

void openStandardStreams()
{
    for (const int it : { STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO }) {
        // open() returns the lowest free number, which is the closed stream's.
        if (fcntl(it, F_GETFD) < 0 && open("/dev/null", O_RDWR) < 0)
            return;
    }
}

void returnLargeBuffers()
{
    // A fixed threshold: by default it grows with the first large buffer that is freed, and the heap then keeps those that follow.
    mallopt(M_MMAP_THRESHOLD, mmapThresholdBytes);
    mallopt(M_TRIM_THRESHOLD, trimThresholdBytes);
}

void logProcessEnd(std::string_view why)
{
    std::string line = "{\"event\":\"ended\",\"why\":";
    appendJsonText(line, why);
    line += "}\n";
    const auto isWritten = [&](int stream) { return write(stream, line.data(), line.size()) == static_cast<ssize_t>(line.size()); };
    if (!isWritten(STDOUT_FILENO))
        isWritten(STDERR_FILENO);
}

void logUncaughtExceptions()
{
    std::set_terminate([] {
        logProcessEnd(textOfCurrentException());
        std::abort();
    });
}

}
