#pragma once

#include "base/random_source.h"
#include "base/time.h"

#include <cstdint>
#include <deque>
#include <string>

namespace lycheefield::standin {

/// Behaviour of one direction of a link between availability zones.
struct LinkBehaviour {
    Duration delay { 3000 }; ///< One-way delay.
    double retransmitProbability = 0; ///< Share of messages that are lost once and retransmitted.
    Duration retransmitTime { 200000 }; ///< Extra delay of a retransmitted message; later messages of the connection wait behind it.
    bool isCut = false; ///< No bytes pass; bytes pushed during the cut wait until it ends.
};

/// Bytes in transit in one direction of one connection. No I/O; not thread safe.
class DelayLine {
public:
    explicit DelayLine(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void push(std::string bytes, const LinkBehaviour&, TimePoint now);
    /// Removes and returns the bytes that have arrived by `now`, in order; empty when there are none.
    std::string take(const LinkBehaviour&, TimePoint now);
    /// Arrival time of the next bytes; `never` when none are in transit.
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
