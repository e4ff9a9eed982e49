#pragma once

#include "base/time.h"

#include <algorithm>
#include <compare>
#include <optional>

namespace lycheefield {

/// A frame that a process has read from its peer. The process returns it to the peer with a later frame.
struct FrameEcho {
    TimePoint sentAt {}; ///< Of the frame, on the clock of the process that wrote it and now gets the echo.
    TimePoint readAt {}; ///< On the clock of the process that read the frame.

    friend auto operator<=>(const FrameEcho&, const FrameEcho&) = default;
};

/// The times that a frame carries.
struct FrameTimes {
    TimePoint sentAt {}; ///< On the clock of the process that wrote the frame.
    std::optional<FrameEcho> echo {};

    friend bool operator==(const FrameTimes&, const FrameTimes&) = default;
};

/// Bounds of the time at which a frame was sent, on the clock of the process that read it.
struct SendTime {
    /// Excess of a deadline over the true one that is accepted because the transit time of a frame is only bounded.
    static constexpr Duration deadlineTolerance = std::chrono::milliseconds(50);

    std::optional<TimePoint> earliest {}; ///< However the clocks may have drifted apart. Empty while the sender's clock is unknown.
    TimePoint latest {}; ///< When the frame was read.
    TimePoint assumed {}; ///< For time limits: between the two, with the allowance for drift added instead of taken off.

    /// Returns the time from which a time limit in the frame counts.
    TimePoint startOfLimits() const { return std::min(latest, assumed + deadlineTolerance); }

    friend bool operator==(const SendTime&, const SendTime&) = default;
};

/// The clock of the process at the other end of a connection.
///
/// A frame may lie in a buffer while this process is paused, or be on its way for long, so the time at which it is read does not tell when
/// it was sent. The offset between the two clocks is bounded by an echo: if the peer read at its time b a frame that was written at the time a
/// here, then b is a or later here, and every time P there is P + (a - b) or later here. The greatest bound counts. It falls as it ages, because
/// clocks may differ in rate. Does no I/O. Not thread safe.
class PeerClock {
public:
    /// Records a frame that was read now, with the times that it carries; none from a peer of an earlier release. Returns when it was sent.
    SendTime onFrame(const std::optional<FrameTimes>&, TimePoint now);
    /// Returns the times for a frame that is written now.
    FrameTimes timesFor(TimePoint now);
    /// Whether a frame should be written although there is nothing to tell, because the peer has had nothing to echo for a while.
    bool needsProbe(TimePoint now) const;
    /// Returns the time of the peer's clock on this process's clock, or an earlier one; empty while the peer's clock is unknown.
    std::optional<TimePoint> toOwn(TimePoint theirs, TimePoint now) const;

    /// The longest time without a frame to the peer while frames come from it.
    static constexpr Duration probePeriod = std::chrono::seconds(10);
    /// The same while the bound of the offset is loose.
    static constexpr Duration looseProbePeriod = std::chrono::seconds(1);
    /// A bound is loose if both frames of its echo together were on the way for longer than this.
    static constexpr Duration looseTransit = std::chrono::milliseconds(100);
    /// The shortest time between the reading of two frames that are echoed.
    static constexpr Duration echoPeriod = std::chrono::seconds(1);

private:
    /// Returns the lower bound of what is to be added to the peer's times.
    std::optional<Duration> offset(TimePoint now) const;
    /// Returns by how much the clocks may have drifted apart since the offset was learned.
    Duration drift(TimePoint now) const;
    /// Lowers an offset by which a frame that was read now would have been sent later than now.
    void correct(TimePoint theirs, TimePoint now);
    void learn(const FrameEcho&, TimePoint theirs, TimePoint now);

    std::optional<Duration> m_offset; ///< As of m_learnedAt.
    TimePoint m_learnedAt {}; ///< When the frame was written whose echo gave the offset.
    Duration m_transit {}; ///< Of the latest echo and the frame that it echoes, together.
    std::optional<FrameEcho> m_latestRead;
    TimePoint m_writtenAt {}; ///< When the last frame was written.
    std::optional<FrameEcho> m_echoed; ///< The last echo that was written.
};

}
