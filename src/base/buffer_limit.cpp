#include "base/buffer_limit.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

BufferLimit::BufferLimit(ByteCount max)
    : m_max(max)
{
}

const std::shared_ptr<BufferLimit>& BufferLimit::ofProcess()
{
    static const auto limit = std::make_shared<BufferLimit>();
    return limit;
}

void BufferLimit::setMax(ByteCount max)
{
    const std::lock_guard lock(m_mutex);
    m_max = max;
}

std::uint64_t BufferLimit::bytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_bytes;
}

std::uint64_t BufferLimit::peakBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_peakBytes;
}

std::uint64_t BufferLimit::evictions() const
{
    const std::lock_guard lock(m_mutex);
    return m_evictions;
}

std::vector<BufferEvictions> BufferLimit::takeEvictions()
{
    const std::lock_guard lock(m_mutex);
    std::vector<BufferEvictions> taken;
    for (auto& [owner, it] : std::exchange(m_untakenEvictions, {}))
        taken.push_back(std::move(it));
    return taken;
}

void BufferLimit::add(BufferCharge& charge)
{
    const std::lock_guard lock(m_mutex);
    charge.m_owner = &m_owners[charge.m_ownerName];
    charge.m_owner->charges.insert(&charge);
}

void BufferLimit::remove(BufferCharge& charge)
{
    const std::lock_guard lock(m_mutex);
    setBytes(charge, 0);
    charge.m_owner->charges.erase(&charge);
    if (charge.m_owner->charges.empty())
        m_owners.erase(charge.m_ownerName);
}

void BufferLimit::change(BufferCharge& charge, std::uint64_t bytes)
{
    std::vector<std::function<void()>> handlers;
    {
        const std::lock_guard lock(m_mutex);
        setBytes(charge, bytes);
        while (m_bytes - m_evictedBytes > m_max.value) {
            auto* evicted = chooseEvicted();
            if (!evicted)
                break;
            evicted->m_isEvicted = true;
            m_evictedBytes += evicted->m_bytes;
            recordEviction(*evicted);
            handlers.push_back(evicted->m_onEvict);
        }
    }
    for (const auto& it : handlers)
        it();
}

void BufferLimit::setBytes(BufferCharge& charge, std::uint64_t bytes)
{
    // Unsigned arithmetic: the difference may be negative.
    const auto difference = bytes - charge.m_bytes;
    charge.m_bytes = bytes;
    charge.m_owner->bytes += difference;
    m_bytes += difference;
    if (charge.m_isEvicted)
        m_evictedBytes += difference;
    m_peakBytes = std::max(m_peakBytes, m_bytes);
}

BufferCharge* BufferLimit::chooseEvicted()
{
    BufferCharge* chosen = nullptr;
    double greatest = 0;
    for (const auto& [name, owner] : m_owners) {
        for (auto* it : owner.charges) {
            const auto ownerBytes = static_cast<double>(owner.bytes);
            const auto weight = static_cast<double>(it->m_bytes) * ownerBytes * ownerBytes;
            if (it->m_isEvicted || !it->m_onEvict || weight <= greatest)
                continue;
            chosen = it;
            greatest = weight;
        }
    }
    return chosen;
}

void BufferLimit::recordEviction(const BufferCharge& charge)
{
    ++m_evictions;
    auto& it = m_untakenEvictions[charge.m_ownerName];
    it.owner = charge.m_ownerName;
    ++it.connections;
    it.bytes += charge.m_bytes;
    it.ownerBytes = charge.m_owner->bytes;
}

BufferCharge::BufferCharge(std::shared_ptr<BufferLimit> limit, std::string owner, std::function<void()> onEvict)
    : m_limit(std::move(limit))
    , m_ownerName(std::move(owner))
    , m_onEvict(std::move(onEvict))
{
    if (m_limit)
        m_limit->add(*this);
}

BufferCharge::~BufferCharge()
{
    if (m_limit)
        m_limit->remove(*this);
}

void BufferCharge::set(std::uint64_t bytes)
{
    if (m_limit && bytes != m_bytes)
        m_limit->change(*this, bytes);
}

bool BufferCharge::isEvicted() const
{
    if (!m_limit)
        return false;
    const std::lock_guard lock(m_limit->m_mutex);
    return m_isEvicted;
}

}
