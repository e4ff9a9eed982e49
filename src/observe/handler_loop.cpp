#include "observe/handler_loop.h"

#include <exception>
#include <utility>

namespace lycheefield {

HandlerLoop::HandlerLoop(boost::asio::io_context& io, Metrics& metrics, Report report)
    : m_io(io)
    , m_exceptions(metrics.counter("lycheefield_handler_exceptions_total"))
    , m_report(std::move(report))
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
            m_report(ex.what());
        }
    }
}

}
