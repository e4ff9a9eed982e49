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

std::vector<IndexVersion> versionsOf(const json::object& object)
{
    std::set<IndexVersion> versions;
    for (const auto& it : object.at("versions").as_array())
        versions.insert(IndexVersion(it.to_number<std::uint64_t>()));
    return { versions.begin(), versions.end() };
}

Server serverOf(const json::object& object, const ServiceName& service)
{
    Server server;
    server.name = ServerName(textOf(object, "name"));
    server.endpoint = { textOf(object, "address"), numberOf<std::uint16_t>(object, "port") };
    server.zone = ZoneName(textOf(object, "zone"));
    server.service = service;
    server.slots = numberOf<std::uint32_t>(object, "slots");
    server.connectionCap = numberOf<std::uint32_t>(object, "connections");
    server.leaving = object.at("leaving").as_bool();
    server.versions = versionsOf(object);
    return server;
}

Shard shardOf(const json::object& object, std::uint32_t number)
{
    Shard shard;
    shard.number = ShardNumber(number);
    for (const auto& it : object.at("batches").as_array())
        shard.batches.emplace_back(std::string(it.as_string()));
    for (const auto& it : object.at("replicas").as_array())
        shard.replicas.emplace_back(std::string(it.as_string()));
    return shard;
}

Error malformed(const std::string& why)
{
    return { ErrorKind::InvalidInput, "the catalog entry is malformed: " + why, "write it again as docs/INTERFACES.md describes" };
}

Result<CatalogEntry> checked(CatalogEntry entry)
{
    std::set<ServerName> known;
    for (const auto& it : entry.servers)
        known.insert(it.name);
    for (const auto& shard : entry.service.shards) {
        for (const auto& it : shard.replicas) {
            if (!known.contains(it))
                return malformed("shard " + std::to_string(shard.number.value()) + " names the unknown server " + it.value());
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
            entry.service.shards.push_back(shardOf(it.as_object(), static_cast<std::uint32_t>(entry.service.shards.size())));
        for (const auto& it : root.at("servers").as_array())
            entry.servers.push_back(serverOf(it.as_object(), entry.service.name));
        return checked(std::move(entry));
    } catch (const std::exception& e) {
        return malformed(e.what());
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
