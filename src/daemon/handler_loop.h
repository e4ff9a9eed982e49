#pragma once

#include "observe/metrics.h"

#include <boost/asio/io_context.hpp>

namespace lycheefield {

/// Runs the handlers of an io_context. One that throws ends its own request, no other: it is
/// counted as lycheefield_handler_exceptions_total and logged, and the next handler runs.
class HandlerLoop {
public:
    /// Precondition: both outlive the loop.
    HandlerLoop(boost::asio::io_context&, Metrics&);

    /// Returns once the io_context is stopped or has nothing left to do. Each thread that serves calls it.
    void run();

private:
    boost::asio::io_context& m_io;
    Counter& m_exceptions;
};

}
