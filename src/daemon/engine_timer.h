#pragma once

#include "base/clock.h"
#include "daemon/strand.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace lycheefield {

/// Timer that wakes an engine at its next deadline. Not thread safe: to be called on the engine's strand.
class EngineTimer {
public:
    EngineTimer(const Strand& strand, std::shared_ptr<const Clock> clock)
        : m_timer(strand)
        , m_clock(std::move(clock))
    {
    }

    /// Calls the function at the given time or shortly after. A timer that is already set for an earlier time
    /// stays, because waking an engine too early is harmless.
    template <typename Function>
    void arm(TimePoint wake, Function function)
    {
        if (wake >= m_armedFor)
            return;
        m_armedFor = wake;
        m_timer.expires_after(wake - m_clock->now());
        m_timer.async_wait([this, function = std::move(function)](const boost::system::error_code& ec) {
            if (ec)
                return;
            m_armedFor = never;
            function();
        });
    }

    void cancel()
    {
        m_armedFor = never;
        m_timer.cancel();
    }

private:
    boost::asio::steady_timer m_timer;
    std::shared_ptr<const Clock> m_clock;
    TimePoint m_armedFor = never;
};

}
