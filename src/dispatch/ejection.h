#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>

namespace lycheefield {

/// The ejection state of one server: a failing server is taken out of use for a time. Each
/// consecutive ejection lasts twice as long as the one before; after an ejection one leg at a time
/// probes the server. Not thread safe.
class Ejection {
public:
    enum class State : std::uint8_t {
        InUse,
        Ejected,
        Probing,
    };

    /// Records a failure. Returns true when the server should be ejected: after a failed probe, or after
    /// enough consecutive failures of more than one content.
    bool onFailure(Fingerprint);
    /// Records a success. Returns true when the success ended the probing.
    bool onSuccess();
    void eject(TimePoint, Duration ejectionTime);
    /// Returns true when the ejection has just ended and probing begins.
    bool onTimer(TimePoint);

    State state() const { return m_state; }
    /// When the ejection ends; `never` when the server is not ejected.
    TimePoint until() const { return m_state == State::Ejected ? m_until : never; }

private:
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_consecutiveEjections = 0;
    Fingerprint m_firstFailed;
    bool m_severalContentsFailed = false;
    State m_state = State::InUse;
    TimePoint m_until = never;
    std::uint32_t m_consecutiveSuccesses = 0;
};

}
