#pragma once

#include "base/error.h"
#include "catalog/shard_map.h"

#include <string>
#include <string_view>

namespace lycheefield {

/// One service with its servers, stored as JSON in the platform's object "catalog/SERVICE":
/// {"service","epoch","shards":[{"batches":[…],"replicas":[…]}],
/// "servers":[{"name","address","port","zone","slots","connections","leaving","versions":[…]}]}.
struct CatalogEntry {
    Service service;
    std::vector<Server> servers;
    friend bool operator==(const CatalogEntry&, const CatalogEntry&) = default;
};

/// Skips unknown members. A missing or mistyped member, or a replica that is not among the servers, is
/// an error of kind InvalidInput.
Result<CatalogEntry> parseCatalogEntry(std::string_view json);
std::string formatCatalogEntry(const CatalogEntry&);

}
