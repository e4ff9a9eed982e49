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

/// The tables that requests read. Thread safe.
struct SharedTables {
    Snapshot<RuleTable> rules;
    Snapshot<ShardMap> shards;
    Snapshot<MembershipView> view;
    Snapshot<Ownership> ownership;

    QueryTables read() const { return { rules.read(), shards.read(), ownership.read() }; }
};

/// The one place that changes SharedTables: it derives who owns which server and tells who listens.
/// Thread safe.
class TablePublisher {
public:
    using Listener = std::function<void()>;

    /// ownsAll: routing "direct", where this instance sends to every server itself.
    TablePublisher(SharedTables&, InstanceName self, bool ownsAll);

    void publishRules(RuleTable);
    void publishShards(ShardMap);
    void publishView(MembershipView);
    /// Called after each change of shards, view or ownership, on the thread that published.
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
