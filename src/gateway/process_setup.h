#pragma once

#include <csignal>
#include <string_view>

namespace lycheefield {

/// Holds back SIGTERM, SIGINT and SIGHUP until their handlers are set: without a handler each would end the process. Signals
/// that arrive meanwhile are delivered afterwards. Precondition: created before any other thread.
class HeldSignals {
public:
    HeldSignals();
    ~HeldSignals();
    HeldSignals(const HeldSignals&) = delete;
    HeldSignals& operator=(const HeldSignals&) = delete;

private:
    sigset_t m_before {};
};

/// Opens /dev/null in place of each standard stream that is closed. Otherwise the first sockets would get the streams' numbers, and log
/// lines would go to callers. Precondition: no other descriptor has been opened.
void openStandardStreams();

/// Makes freed memory of large buffers go back to the system at once, so that resident memory follows what is in use.
void returnLargeBuffers();

/// Writes the last log line of a process: why it ends. The line goes to standard error when standard output does not take it.
void logProcessEnd(std::string_view why);

/// Makes an exception that nothing catches write its text as the last log line before the process ends.
void logUncaughtExceptions();

}
