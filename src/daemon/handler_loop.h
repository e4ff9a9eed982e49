#pragma once

#include "observe/metrics.h"

#include <boost/asio/io_context.hpp>

namespace lycheefield {

/// Runs the handlers of an io_context. A handler that throws ends its own request only: the exception is
/// logged and counted in lycheefield_handler_exceptions_total, and the loop continues with the next handler.
class HandlerLoop {
public:
    /// Precondition: the io_context and the metrics outlive the loop.
    HandlerLoop(boost::asio::io_context&, Metrics&);

    /// Runs handlers until the io_context is stopped or has no more work. To be called by each serving thread.
    void run();

private:
    boost::asio::io_context& m_io;
    Counter& m_exceptions;
};

}
