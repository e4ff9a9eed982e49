#include "model_store.h"

#include <algorithm>
#include <utility>

namespace lycheefield {

void VirtualEvents::runFor(Duration time)
{
    const auto end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        const auto event = m_events.extract(m_events.begin());
        m_now = event.key();
        event.mapped()();
    }
    m_now = end;
}

ModelStore::ModelStore(VirtualEvents& events)
    : m_events(events)
{
}

WatchBatch ModelStore::response(StoreStatus status) const
{
    WatchBatch batch;
    batch.status = status;
    batch.revision = { m_epoch, status == StoreStatus::Ok ? m_state.revision : 0 };
    return batch;
}

void ModelStore::put(const std::string& key)
{
    const auto value = std::to_string(++m_writes);
    m_state.objects[key] = { ++m_state.revision, value };
    record(key, value);
}

void ModelStore::remove(const std::string& key)
{
    m_state.objects.erase(key);
    ++m_state.revision;
    record(key, std::nullopt);
}

void ModelStore::record(const std::string& key, const std::optional<std::string>& value)
{
    m_state.events.push_back({ m_state.revision, key, value });
    m_values[key].push_back({ m_events.now(), value });
    respondToWatches();
}

void ModelStore::respondToWatches()
{
    for (const auto& [number, watch] : std::exchange(m_watches, {})) {
        if (const auto changes = changesAfter(watch.after))
            watch.respond(*changes);
        else
            m_watches.emplace(number, watch);
    }
}

void ModelStore::forgetHistory()
{
    m_state.events.clear();
    m_state.historyStart = ++m_state.revision;
    respondToWatches();
}

void ModelStore::setHealth(Health health)
{
    if (std::exchange(m_health, health) != Health::Sound && health == Health::Sound)
        m_soundSince = m_events.now();
    if (health != Health::Sound)
        m_watches.clear();
}

void ModelStore::restoreCopy()
{
    m_watches.clear();
    m_state = m_copy;
    ++m_epoch;
    for (auto& [key, values] : m_values) {
        const auto it = m_state.objects.find(key);
        const auto value = it == m_state.objects.end() ? std::nullopt : std::optional(it->second.value);
        if (values.back().value != value)
            values.push_back({ m_events.now(), value });
    }
}

void ModelStore::list(const Respond& respond)
{
    ++m_calls;
    if (m_health != Health::Sound)
        return m_health == Health::Refuses ? respond({}) : void();
    auto batch = response(StoreStatus::Ok);
    for (const auto& [key, object] : m_state.objects)
        batch.changed.push_back({ key, { object.revision }, object.value });
    respond(batch);
}

std::optional<WatchBatch> ModelStore::changesAfter(std::uint64_t revision) const
{
    if (revision < m_state.historyStart || revision > m_state.revision)
        return response(StoreStatus::HistoryExpired);
    auto batch = response(StoreStatus::Ok);
    std::map<std::string, const Event*> latest;
    for (const auto& it : m_state.events) {
        if (it.revision > revision)
            latest[it.key] = &it;
    }
    for (const auto& [key, event] : latest) {
        if (event->value)
            batch.changed.push_back({ key, { event->revision }, *event->value });
        else
            batch.removed.push_back(key);
    }
    return latest.empty() ? std::nullopt : std::optional(batch);
}

void ModelStore::watch(std::uint64_t after, Duration wait, const Respond& respond)
{
    const auto number = ++m_calls;
    if (m_health != Health::Sound)
        return m_health == Health::Refuses ? respond({}) : void();
    if (const auto changes = changesAfter(after))
        return respond(*changes);
    m_watches[number] = { after, respond };
    m_events.after(wait, [this, number] {
        if (const auto it = m_watches.find(number); it != m_watches.end()) {
            const auto ended = it->second;
            m_watches.erase(it);
            ended.respond(response(StoreStatus::Ok));
        }
    });
}

std::vector<std::optional<std::string>> ModelStore::valuesSince(TimePoint time, const std::string& key) const
{
    std::vector<std::optional<std::string>> values;
    const auto& all = m_values.at(key);
    for (auto it = all.rbegin(); it != all.rend(); ++it) {
        values.push_back(it->value);
        if (it->from <= time)
            return values;
    }
    values.push_back(std::nullopt);
    return values;
}

std::vector<std::string> ModelStore::keys() const
{
    std::vector<std::string> keys;
    for (const auto& [key, values] : m_values)
        keys.push_back(key);
    return keys;
}

}
