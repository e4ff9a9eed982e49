#pragma once

#include "observe/metrics.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace lycheefield {

/// Runs the handlers of an io_context. A handler that throws ends its own request only: the exception is
/// reported and counted in lycheefield_handler_exceptions_total, and the loop continues with the next handler.
class HandlerLoop {
public:
    /// Receives the text of each exception, on the thread on which it was thrown. Must not throw.
    using Report = std::function<void(std::string_view why)>;

    /// Precondition: the io_context and the metrics outlive the loop.
    HandlerLoop(boost::asio::io_context&, Metrics&, Report);

    /// Runs handlers until the io_context is stopped or has no more work. To be called by each serving thread.
    void run();

private:
    boost::asio::io_context& m_io;
    Counter& m_exceptions;
    Report m_report;
};

}
