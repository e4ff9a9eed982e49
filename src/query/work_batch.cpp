#include "query/work_batch.h"

#include <algorithm>

namespace lycheefield {

void WorkBatch::add(const InstanceName& relay, LegOrder leg)
{
    auto it = std::find_if(m_groups.begin(), m_groups.end(), [&](const Group& group) { return group.relay == relay; });
    if (it == m_groups.end())
        it = m_groups.insert(m_groups.end(), Group { relay, {} });
    it->legs.push_back(std::move(leg));
}

void WorkBatch::flush(const Query& query, const InstanceName& entry, QueryActions& actions)
{
    for (auto& it : m_groups) {
        SendWork send;
        send.relay = std::move(it.relay);
        send.work.request = query.request.id;
        send.work.entry = entry;
        send.work.service = query.rule->service;
        send.work.kind = query.rule->kind;
        send.work.priority = query.rule->priority;
        send.work.deadline = query.deadline;
        send.work.version = query.version;
        send.work.epoch = query.service->epoch;
        send.work.fingerprint = query.fingerprint;
        send.work.body = query.request.body;
        send.work.traceparent = query.request.traceparent;
        send.work.legs = std::move(it.legs);
        actions.emplace_back(std::move(send));
    }
    m_groups.clear();
}

}
