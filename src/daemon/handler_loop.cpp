#include "daemon/handler_loop.h"

#include "observe/log.h"

#include <exception>

namespace lycheefield {

HandlerLoop::HandlerLoop(boost::asio::io_context& io, Metrics& metrics)
    : m_io(io)
    , m_exceptions(metrics.counter("lycheefield_handler_exceptions_total"))
{
}

void HandlerLoop::run()
{
    while (true) {
        try {
            m_io.run();
            return;
        } catch (const std::exception& ex) {
            m_exceptions.add();
            logChange(LogLevel::Error, "a handler threw an exception; its request ends, other requests continue", { { "why", ex.what() } });
        }
    }
}

}
