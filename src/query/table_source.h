#pragma once

#include "query/query_tables.h"

namespace lycheefield {

/// Provides the current tables. A query reads them when it restarts or waits for newer tables, and refreshes
/// its ownership when a relay does not hold a server. Implementations are thread safe.
class TableSource {
public:
    virtual ~TableSource() = default;
    virtual QueryTables newest() const = 0;
};

}
