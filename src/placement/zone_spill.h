#pragma once

#include "base/time.h"

#include <cstdint>

namespace lycheefield {

/// What an instance observes of the servers of one service, in requests.
struct ZoneSpillInputs {
    double backlog = 0; ///< Requests that the usable servers of this zone run or have waiting.
    double capacity = 0; ///< Requests that these servers may run or have waiting without a late response.
    double headroom = 0; ///< Further requests that the servers of other zones may take in the same sense.
    Duration requestTime {}; ///< Usual time of a request, after which its response tells the load that it met.
    std::uint32_t zoneInstances = 1; ///< Instances of this zone, which are assumed to have the same demand as this one.

    friend bool operator==(const ZoneSpillInputs&, const ZoneSpillInputs&) = default;
};

/// Returns how many requests a server may run or have waiting so that none waits longer than maxWait.
double tolerableRequests(double slots, Duration requestTime, Duration maxWait);

/// Decides which share of an instance's requests for one service may leave the availability zone.
///
/// The share grows while the zone's servers have more requests than they can serve in time and other zones have
/// headroom, and shrinks once they have clearly fewer, or other zones are full. A request that would be late in this zone
/// need not wait for the share to grow. All instances observe about the same load, so the share changes slowly against the
/// age of the load reports, and each instance has a threshold of its own: they neither leave nor return all at once.
/// The state is kept in memory only. Not thread safe.
class ZoneSpill {
public:
    /// The threshold is drawn by each instance, uniformly from [0, 1).
    explicit ZoneSpill(double threshold);

    /// Adjusts the share. Without updates the share falls to zero by itself.
    void update(const ZoneSpillInputs&, TimePoint);
    /// Returns whether an update is due.
    bool isDue(TimePoint now) const { return now >= m_updatedAt + updatePeriod; }
    TimePoint updatedAt() const { return m_updatedAt; }
    /// Returns the share of the requests that may leave.
    double share(TimePoint) const;
    /// Records a request for which a server in another zone has the lowest expected latency.
    void recordCandidate(TimePoint);
    /// Returns whether such a request may leave; draw: uniform from [0, 1). One that would be late in this zone may
    /// as far as other zones have headroom for those of all instances, another one only as part of the share.
    bool mayLeave(bool isLate, double draw, TimePoint) const;
    /// Records where a request was sent.
    void recordSent(bool left);
    /// Returns the share of the last requests that left, a moving average.
    double leftShare() const { return m_leftShare; }
    /// Returns whether requests leave; changes only once their share has clearly grown or is almost zero again.
    bool isSpilling() const { return m_isSpilling; }
    const ZoneSpillInputs& inputs() const { return m_inputs; }

    static constexpr Duration updatePeriod = std::chrono::milliseconds(25);

private:
    ZoneSpillInputs m_inputs;
    double m_share = 0;
    double m_admitted = 1; ///< Part of the candidates for which other zones have headroom.
    double m_candidatesPerSecond = 0; ///< Moving average.
    TimePoint m_lastCandidateAt {};
    double m_leftShare = 0;
    double m_threshold;
    TimePoint m_updatedAt {};
    bool m_isSpilling = false;
};

}
