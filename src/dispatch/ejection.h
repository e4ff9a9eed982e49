#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>

namespace lycheefield {

/// Whether a server is ejected: taken out of use for a time because it fails. Each
/// ejection in a row lasts twice as long; at its end one leg at a time probes the server. Not
/// thread safe.
class Ejection {
public:
    enum class State : std::uint8_t {
        InUse,
        Ejected,
        Probing,
    };

    /// True when the failures in a row, by more than one content, ask for ejection.
    bool onFailure(Fingerprint);
    /// True when a success ended the probing.
    bool onSuccess();
    void eject(TimePoint, Duration ejectionTime);
    /// True when the ejection has just ended and probing begins.
    bool onTime(TimePoint);

    State state() const { return m_state; }
    TimePoint until() const { return m_state == State::Ejected ? m_until : never; }

private:
    std::uint32_t m_failuresInARow = 0;
    std::uint32_t m_ejectionsInARow = 0;
    Fingerprint m_firstFailed;
    bool m_severalContents = false;
    State m_state = State::InUse;
    TimePoint m_until = never;
    std::uint32_t m_successesInARow = 0;
};

}
