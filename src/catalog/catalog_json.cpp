#include "catalog/catalog_json.h"

#include <boost/json.hpp>

#include <set>

namespace lycheefield {

namespace {

namespace json = boost::json;

std::string textOf(const json::object& object, const char* key)
{
    return std::string(object.at(key).as_string());
}

template <typename Number>
Number numberOf(const json::object& object, const char* key)
{
    return object.at(key).to_number<Number>();
}

std::vector<IndexVersion> parseVersions(const json::object& object)
{
    std::set<IndexVersion> versions;
    for (const auto& it : object.at("versions").as_array())
        versions.insert(IndexVersion(it.to_number<std::uint64_t>()));
    return { versions.begin(), versions.end() };
}

Server parseServer(const json::object& object, const ServiceName& service)
{
    Server server;
    server.name = ServerName(textOf(object, "name"));
    server.endpoint = { textOf(object, "address"), numberOf<std::uint16_t>(object, "port") };
    server.zone = ZoneName(textOf(object, "zone"));
    server.service = service;
    server.slots = numberOf<std::uint32_t>(object, "slots");
    server.connectionCap = numberOf<std::uint32_t>(object, "connections");
    server.leaving = object.at("leaving").as_bool();
    server.versions = parseVersions(object);
    return server;
}

Shard parseShard(const json::object& object, std::uint32_t number)
{
    Shard shard;
    shard.number = ShardNumber(number);
    for (const auto& it : object.at("batches").as_array())
        shard.batches.emplace_back(std::string(it.as_string()));
    for (const auto& it : object.at("replicas").as_array())
        shard.replicas.emplace_back(std::string(it.as_string()));
    return shard;
}

Error malformedEntry(const std::string& reason)
{
    return { ErrorKind::InvalidInput, "malformed catalog entry: " + reason, "write the object again in the format of docs/INTERFACES.md" };
}

Result<CatalogEntry> checkReplicas(CatalogEntry entry)
{
    std::set<ServerName> serverNames;
    for (const auto& it : entry.servers)
        serverNames.insert(it.name);
    for (const auto& shard : entry.service.shards) {
        for (const auto& it : shard.replicas) {
            if (!serverNames.contains(it))
                return malformedEntry("shard " + std::to_string(shard.number.value()) + " has a replica that is not among the servers: " + it.value());
        }
    }
    return entry;
}

json::object toJson(const Server& server)
{
    json::array versions;
    for (const auto& it : server.versions)
        versions.emplace_back(it.value());
    return { { "name", server.name.value() }, { "address", server.endpoint.address }, { "port", server.endpoint.port },
        { "zone", server.zone.value() }, { "slots", server.slots }, { "connections", server.connectionCap },
        { "leaving", server.leaving }, { "versions", std::move(versions) } };
}

json::object toJson(const Shard& shard)
{
    json::array batches;
    for (const auto& it : shard.batches)
        batches.emplace_back(it.value());
    json::array replicas;
    for (const auto& it : shard.replicas)
        replicas.emplace_back(it.value());
    return { { "batches", std::move(batches) }, { "replicas", std::move(replicas) } };
}

}

Result<CatalogEntry> parseCatalogEntry(std::string_view text)
{
    try {
        const auto value = json::parse(json::string_view(text.data(), text.size()));
        const auto& root = value.as_object();
        CatalogEntry entry;
        entry.service.name = ServiceName(textOf(root, "service"));
        entry.service.epoch = PartitionEpoch(numberOf<std::uint64_t>(root, "epoch"));
        for (const auto& it : root.at("shards").as_array())
            entry.service.shards.push_back(parseShard(it.as_object(), static_cast<std::uint32_t>(entry.service.shards.size())));
        for (const auto& it : root.at("servers").as_array())
            entry.servers.push_back(parseServer(it.as_object(), entry.service.name));
        return checkReplicas(std::move(entry));
    } catch (const std::exception& e) {
        return malformedEntry(e.what());
    }
}

std::string formatCatalogEntry(const CatalogEntry& entry)
{
    json::array shards;
    for (const auto& it : entry.service.shards)
        shards.emplace_back(toJson(it));
    json::array servers;
    for (const auto& it : entry.servers)
        servers.emplace_back(toJson(it));
    return json::serialize(json::object { { "service", entry.service.name.value() }, { "epoch", entry.service.epoch.value() },
        { "shards", std::move(shards) }, { "servers", std::move(servers) } });
}

}
