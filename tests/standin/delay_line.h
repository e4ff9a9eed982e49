#pragma once

#include "base/random_source.h"
#include "base/time.h"

#include <cstdint>
#include <deque>
#include <string>

namespace lycheefield::standin {

/// How one direction of a link between availability zones behaves.
struct LinkBehaviour {
    Duration delay { 3000 }; ///< One way.
    double retransmitProbability = 0; ///< Share of messages that a loss delays…
    Duration retransmitTime { 200000 }; ///< …by this much, with all that follow on the connection.
    bool isCut = false; ///< Nothing passes; what arrives meanwhile waits.
};

/// Bytes on their way through one direction of one connection. No I/O; not thread safe.
class DelayLine {
public:
    explicit DelayLine(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void push(std::string bytes, const LinkBehaviour&, TimePoint now);
    /// Bytes that have arrived by now, in order; empty when there are none.
    std::string take(const LinkBehaviour&, TimePoint now);
    /// When the next bytes arrive; `never` when nothing is on its way.
    TimePoint nextArrival() const;

private:
    struct Piece {
        TimePoint due;
        std::string bytes;
    };

    SeededRandom m_random;
    std::deque<Piece> m_pieces;
    TimePoint m_lastDue { Duration(0) };
};

}
