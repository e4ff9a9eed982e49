#include "gateway/end_record.h"

#include <utility>

namespace lycheefield {

EndRecord::EndRecord(const boost::asio::any_io_executor& executor, QuotaDriver& quotas)
    : m_quotas(quotas)
    , m_timer(executor)
{
}

void EndRecord::begin(std::function<void()> onDone)
{
    if (std::exchange(m_isBegun, true))
        return;
    m_onDone = std::move(onDone);
    m_quotas.end();
    if (!m_registry)
        return finish();
    m_timer.expires_after(storeTimeout);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            announce();
    });
    m_registry->recordEnd([this](bool isRecorded) { isRecorded ? finish() : announce(); });
}

void EndRecord::announce()
{
    if (std::exchange(m_isAnnounced, true))
        return;
    m_quotas.announceEnd();
    m_timer.expires_after(announcementTime);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            finish();
    });
}

void EndRecord::finish()
{
    m_timer.cancel();
    if (m_onDone)
        std::exchange(m_onDone, nullptr)();
}

}
