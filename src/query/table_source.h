#pragma once

#include "query/query_tables.h"

namespace lycheefield {

/// Hands out the tables in force now. A query reads it again only when it has to start again.
/// Implementations are thread safe.
class TableSource {
public:
    virtual ~TableSource() = default;
    virtual QueryTables newest() const = 0;
};

}
