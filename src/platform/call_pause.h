#pragma once

#include "base/time.h"
#include "platform/backoff.h"

#include <cstdint>

namespace lycheefield {

/// The pause of a client whose calls the platform has refused several times in a row. It spares the platform the calls of all users
/// of the client. Reads no clock; not thread safe.
class CallPause {
public:
    CallPause(std::uint32_t failuresBeforePause, Backoff);

    /// Records a call that the platform refused or that did not reach it.
    void onRefusal(TimePoint now);
    /// Records any other outcome of a call that was sent.
    void onSuccess() { m_backoff.onSuccess(); }
    /// Returns how long no call is to be sent; zero when calls may be sent.
    Duration left(TimePoint now) const;

private:
    std::uint32_t m_failuresBeforePause;
    Backoff m_backoff;
    TimePoint m_until {};
};

}
