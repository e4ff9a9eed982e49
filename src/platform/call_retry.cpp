#include "platform/call_retry.h"

#include "platform/object_store.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

namespace {

/// After more failures in a row than this the calls pause and the announcements of others are awaited. One lost packet fails one call.
constexpr std::uint32_t toleratedFailures = 1;

}

CallRetry::CallRetry(Backoff backoff)
    : m_backoff(std::move(backoff))
{
}

Duration CallRetry::onFailure(const WatchBatch& failed, Duration storePause)
{
    m_hasFailed = true;
    if (failed.cause == FailureCause::ClientPause)
        return failed.pauseLeft;
    if (failed.cause == FailureCause::LocalResources)
        return m_backoff.firstDelay();
    const auto delay = m_backoff.onFailure();
    return isFailing() ? std::max(delay, storePause) : delay;
}

void CallRetry::onSuccess()
{
    m_hasFailed = false;
    m_backoff.onSuccess();
}

bool CallRetry::isFailing() const
{
    return m_backoff.failures() > toleratedFailures;
}

}
