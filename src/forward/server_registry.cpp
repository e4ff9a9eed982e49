#include "forward/server_registry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lycheefield {

ServerRegistry::ServerRegistry(Duration renewalPeriod)
    : m_renewalPeriod(renewalPeriod)
{
}

bool ServerRegistry::replaceAll(const std::vector<ServerEntry>& entries, TimePoint now)
{
    std::set<ServerName> listed;
    bool changed = false;
    for (const auto& it : entries) {
        listed.insert(it.name);
        changed = put(it) || changed;
    }
    std::erase_if(m_heldBack, [&](const auto& it) { return !listed.contains(it.first); });
    std::vector<ServerName> absent;
    for (const auto& [name, entry] : m_servers) {
        if (!listed.contains(name) && !m_missing.contains(name))
            absent.push_back(name);
    }
    for (const auto& name : absent)
        changed = remove(name, now) || changed;
    return changed;
}

bool ServerRegistry::replaceAllOfNewEpoch(const std::vector<ServerEntry>& entries, TimePoint now)
{
    extendGrace(now + returnGrace);
    for (const auto& it : entries)
        holdBackIfRemoved(it, now);
    return replaceAll(entries, now);
}

void ServerRegistry::extendGrace(TimePoint until)
{
    m_graceUntil = std::max(m_graceUntil, until);
    for (auto& [name, end] : m_missing)
        end = std::max(end, m_graceUntil);
}

void ServerRegistry::holdBackIfRemoved(const ServerEntry& entry, TimePoint now)
{
    const auto removed = m_removed.find(entry.name);
    if (removed == m_removed.end() || entry.startedAt != removed->second.startedAt)
        return;
    // The store tells no change of the sequence alone, so the copy may list a higher one than was known before the removal.
    if (entry.isNewerThan(removed->second))
        removed->second = entry;
    m_heldBack.insert_or_assign(entry.name, HeldBack { removed->second, now, now + heldBackPeriod(), now + maxHeldBackPeriods * heldBackPeriod() });
}

bool ServerRegistry::put(const ServerEntry& entry)
{
    if (const auto removed = m_removed.find(entry.name); removed != m_removed.end()) {
        if (entry.startedAt < removed->second.startedAt)
            m_heldBack.erase(entry.name);
        if (!entry.isNewerThan(removed->second))
            return false;
        m_removed.erase(removed);
        m_heldBack.erase(entry.name);
    }
    m_missing.erase(entry.name);
    if (const auto known = m_servers.find(entry.name); known != m_servers.end() && known->second.isNewerThan(entry))
        return false;
    const auto [it, isNew] = m_servers.try_emplace(entry.name, entry);
    if (!isNew && it->second == entry)
        return false;
    it->second = entry;
    return true;
}

bool ServerRegistry::remove(const ServerName& name, TimePoint now)
{
    m_heldBack.erase(name);
    const auto it = m_servers.find(name);
    if (it == m_servers.end())
        return false;
    // A draining server is not expected to renew its entry.
    if (isStoreSettled(now) || it->second.isDraining) {
        rememberRemoved(it->second);
        m_servers.erase(it);
        m_missing.erase(name);
        return true;
    }
    m_missing.emplace(name, m_isStoreUnreachable ? never : m_graceUntil);
    return false;
}

void ServerRegistry::rememberRemoved(const ServerEntry& entry)
{
    if (m_removed.size() >= maxRemoved)
        m_removed.erase(m_removed.begin());
    m_removed.insert_or_assign(entry.name, entry);
}

void ServerRegistry::recordStoreUnreachable(TimePoint now)
{
    if (!std::exchange(m_isStoreUnreachable, true))
        m_unreachableSince = now;
    for (auto& [name, until] : m_missing)
        until = never;
}

void ServerRegistry::recordStoreReachable(TimePoint now)
{
    if (!m_isStoreUnreachable)
        return;
    m_isStoreUnreachable = false;
    const bool wasShort = now - m_unreachableSince < m_renewalPeriod;
    m_graceUntil = wasShort ? std::max(m_graceUntil, now) : now + returnGrace;
    for (auto& [name, until] : m_missing)
        until = m_graceUntil;
    extendHeldBack(wasShort, now);
}

void ServerRegistry::extendHeldBack(bool wasShort, TimePoint now)
{
    for (auto& [name, it] : m_heldBack) {
        const auto outage = now - std::max(m_unreachableSince, it.since);
        it.latest += outage;
        it.until = std::min(wasShort ? it.until + outage : now + heldBackPeriod(), it.latest);
    }
}

bool ServerRegistry::takeHeldBack(TimePoint now)
{
    // During an outage nothing tells whether a server lives.
    if (m_isStoreUnreachable)
        return false;
    bool changed = false;
    for (auto it = m_heldBack.begin(); it != m_heldBack.end();) {
        if (it->second.until > now) {
            ++it;
            continue;
        }
        m_removed.erase(it->first);
        changed = put(it->second.last) || changed;
        it = m_heldBack.erase(it);
    }
    return changed;
}

bool ServerRegistry::expire(TimePoint now)
{
    bool changed = takeHeldBack(now);
    for (auto it = m_missing.begin(); it != m_missing.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        const auto server = m_servers.find(it->first);
        rememberRemoved(server->second);
        m_servers.erase(server);
        it = m_missing.erase(it);
        changed = true;
    }
    return changed;
}

TimePoint ServerRegistry::nextExpiry() const
{
    TimePoint next = never;
    for (const auto& [name, until] : m_missing)
        next = std::min(next, until);
    if (m_isStoreUnreachable)
        return next;
    for (const auto& [name, it] : m_heldBack)
        next = std::min(next, it.until);
    return next;
}

}
