#include "platform/epoch_evidence.h"

namespace lycheefield {

bool EpochEvidence::record(std::uint64_t epoch, TimePoint now)
{
    if (epoch != m_epoch || m_responses == 0) {
        m_epoch = epoch;
        m_responses = 0;
        m_since = now;
    }
    ++m_responses;
    const bool isBelieved = m_responses >= neededResponses && now - m_since >= neededTime;
    if (isBelieved)
        clear();
    return isBelieved;
}

}
