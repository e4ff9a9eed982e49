#pragma once

#include "base/snapshot.h"
#include "catalog/shard_map.h"
#include "membership/ownership.h"
#include "membership/view.h"
#include "query/query_tables.h"
#include "rules/rule_table.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace lycheefield {

/// Current snapshots of the tables that requests read. Thread safe.
struct SharedTables {
    Snapshot<RuleTable> rules;
    Snapshot<ShardMap> shards;
    Snapshot<MembershipView> view;
    Snapshot<Ownership> ownership;

    QueryTables read() const { return { rules.read(), shards.read(), ownership.read() }; }
};

/// The only writer of SharedTables: derives the ownership of servers from the tables and notifies listeners of
/// changes. Thread safe.
class TablePublisher {
public:
    using Listener = std::function<void()>;

    /// ownsAll: true for routing "direct", where this instance sends requests to every server itself.
    TablePublisher(SharedTables&, InstanceName self, bool ownsAll);

    void publishRules(RuleTable);
    void publishShards(ShardMap);
    void publishView(MembershipView);
    /// Adds a listener that is called after each change of shards, view or ownership, on the publishing thread.
    void addListener(Listener);

private:
    void deriveOwnership();

    SharedTables& m_tables;
    InstanceName m_self;
    bool m_ownsAll;
    std::mutex m_mutex;
    std::vector<Listener> m_listeners;
};

}
