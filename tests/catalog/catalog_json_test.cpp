#include "catalog/catalog_json.h"

#include <doctest/doctest.h>

namespace lycheefield {

namespace {

CatalogEntry smallEntry()
{
    const ServiceName service("quotedesk");
    const Server server { ServerName("q0"), { "127.0.0.1", 8000 }, ZoneName("ikeja-a"), service, 2, 25, false, { IndexVersion(3), IndexVersion(4) } };
    const Shard shard { ShardNumber(0), { BatchId("b0"), BatchId("b1") }, { ServerName("q0") } };
    return { Service { service, PartitionEpoch(7), { shard } }, { server } };
}

}

TEST_CASE("A catalog entry formatted as JSON parses to the same entry" * doctest::test_suite("catalog"))
{
    const auto entry = smallEntry();
    const auto read = parseCatalogEntry(formatCatalogEntry(entry));
    REQUIRE(read.has_value());
    CHECK(read.value() == entry);

    SUBCASE("The parser reports a replica that is not among the servers by its name")
    {
        auto broken = entry;
        broken.service.shards[0].replicas.push_back(ServerName("q9"));
        const auto result = parseCatalogEntry(formatCatalogEntry(broken));
        REQUIRE(result.has_error());
        CHECK(result.error().message.find("q9") != std::string::npos);
    }
    SUBCASE("The parser returns an error for text that is not a JSON object")
    {
        CHECK(parseCatalogEntry("{").has_error());
        CHECK(parseCatalogEntry("[]").has_error());
    }
}

}
