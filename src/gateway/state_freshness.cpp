#include "gateway/state_freshness.h"

#include <algorithm>

namespace lycheefield {

StateFreshness::StateFreshness(Duration limit, TimePoint startedAt)
    : m_limit(limit)
    , m_known { startedAt, {} }
{
}

void StateFreshness::record(const StateProof& proof)
{
    const bool isNewEpoch = proof.revision.epoch > m_known.revision.epoch;
    m_known.provenAt = isNewEpoch ? proof.provenAt : std::max(m_known.provenAt, proof.provenAt);
    m_known.revision = std::max(m_known.revision, proof.revision);
}

Duration StateFreshness::age(TimePoint now) const
{
    return std::max(Duration {}, Duration(now - m_known.provenAt));
}

StateFreshness::Change StateFreshness::review(TimePoint now)
{
    const bool isBehind = age(now) > m_limit;
    if (isBehind == m_isBehind)
        return Change::None;
    m_isBehind = isBehind;
    return isBehind ? Change::FellBehind : Change::CaughtUp;
}

}
