#pragma once

#include "query/query.h"
#include "query/query_action.h"

#include <vector>

namespace lycheefield {

/// Collects the legs that one step of a query sends, grouped into one message per relay.
class WorkBatch {
public:
    void add(const InstanceName& relay, LegOrder);
    /// Appends one SendWork for each relay, in the order in which the relays were first added.
    void flush(const Query&, const InstanceName& entry, QueryActions&);

private:
    struct Group {
        InstanceName relay;
        std::vector<LegOrder> legs;
    };
    std::vector<Group> m_groups;
};

}
