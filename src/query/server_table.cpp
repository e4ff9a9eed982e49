#include "query/server_table.h"

namespace lycheefield {

ServerRecord& ServerTable::recordOf(const ServerName& name)
{
    auto& record = m_records[name];
    if (!record) {
        record = std::make_unique<ServerRecord>();
        record->name = name;
    }
    return *record;
}

const ServerRecord* ServerTable::find(const ServerName& name) const
{
    const auto it = m_records.find(name);
    return it == m_records.end() ? nullptr : it->second.get();
}

void ServerTable::recordState(const ServerState& state, TimePoint now)
{
    if (state.server.value().empty())
        return;
    auto& record = recordOf(state.server);
    record.state = state;
    record.stateAt = now;
}

}
