#include "daemon/shared_tables.h"

namespace lycheefield {

TablePublisher::TablePublisher(SharedTables& tables, InstanceName self, bool ownsAll)
    : m_tables(tables)
    , m_self(std::move(self))
    , m_ownsAll(ownsAll)
{
}

void TablePublisher::publishRules(RuleTable rules)
{
    m_tables.rules.publish(std::move(rules));
}

void TablePublisher::publishShards(ShardMap shards)
{
    const std::lock_guard lock(m_mutex);
    if (*m_tables.shards.read() == shards)
        return;
    m_tables.shards.publish(std::move(shards));
    deriveOwnership();
}

void TablePublisher::publishView(MembershipView view)
{
    const std::lock_guard lock(m_mutex);
    if (*m_tables.view.read() == view)
        return;
    m_tables.view.publish(std::move(view));
    deriveOwnership();
}

void TablePublisher::addListener(Listener listener)
{
    const std::lock_guard lock(m_mutex);
    m_listeners.push_back(std::move(listener));
}

void TablePublisher::deriveOwnership()
{
    const auto view = m_tables.view.read();
    const auto shards = m_tables.shards.read();
    if (!m_ownsAll) {
        m_tables.ownership.publish(Ownership(*view, *shards));
    } else if (view->find(m_self)) {
        m_tables.ownership.publish(Ownership::ofDirectRouting(m_self, *view, *shards));
    }
    for (const auto& it : m_listeners)
        it();
}

}
