#pragma once

#include "base/error.h"
#include "catalog/shard_map.h"

#include <string>
#include <string_view>

namespace lycheefield {

/// Reads the services of a map from the JSON in the platform's object "catalog/SERVICE", one object
/// a service: {"service","epoch","shards":[{"batches":[…],"replicas":[…]}],
/// "servers":[{"name","address","port","zone","slots","connections","leaving","versions":[…]}]}.
/// An unknown member is skipped; a missing or mistyped one is an error that names it.
struct CatalogEntry {
    Service service;
    std::vector<Server> servers;
    friend bool operator==(const CatalogEntry&, const CatalogEntry&) = default;
};

Result<CatalogEntry> parseCatalogEntry(std::string_view json);
std::string formatCatalogEntry(const CatalogEntry&);

}
