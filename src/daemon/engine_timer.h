#pragma once

#include "base/clock.h"
#include "daemon/strand.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace lycheefield {

/// Wakes an engine when it asks for it. Not thread safe: call it on its strand.
class EngineTimer {
public:
    EngineTimer(const Strand& strand, std::shared_ptr<const Clock> clock)
        : m_timer(strand)
        , m_clock(std::move(clock))
    {
    }

    /// Calls the function at the time, or a little later. A timer that is set for an earlier time
    /// stays: waking an engine too early does no harm.
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
