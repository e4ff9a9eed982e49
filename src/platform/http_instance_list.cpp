#include "platform/http_instance_list.h"

#include "platform/percent_coding.h"

#include <boost/json.hpp>

namespace lycheefield {

namespace {

namespace json = boost::json;

constexpr std::string_view stateLive = "live";
constexpr std::string_view stateLeaving = "leaving";

/// Throws when a member is missing or has another type.
Instance toInstance(const json::value& value)
{
    const auto text = [&](const char* name) { return json::value_to<std::string>(value.at(name)); };
    const auto port = [&](const char* name) { return json::value_to<std::uint16_t>(value.at(name)); };
    Instance instance;
    instance.name = InstanceName(text("name"));
    instance.life = ProcessLife(json::value_to<std::uint64_t>(value.at("life")));
    instance.zone = ZoneName(text("zone"));
    instance.health = text("state") == stateLive ? InstanceHealth::Alive : InstanceHealth::Leaving;
    instance.inner = { text("address"), port("inner") };
    instance.http = { text("address"), port("http") };
    return instance;
}

std::optional<std::vector<Instance>> toInstances(const std::string& body)
{
    try {
        std::vector<Instance> instances;
        const auto parsed = json::parse(body);
        for (const auto& it : parsed.at("instances").as_array())
            instances.push_back(toInstance(it));
        return instances;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}

HttpInstanceList::HttpInstanceList(std::shared_ptr<PlatformClient> client)
    : m_client(std::move(client))
{
}

void HttpInstanceList::fetch(Handler handler)
{
    PlatformCall call { PlatformCallKind::Instances, "/v1/instances", {}, {} };
    m_client->call(std::move(call), [handler = std::move(handler)](const PlatformResponse& response) {
        if (response.status != StoreStatus::Ok)
            return handler(std::nullopt);
        handler(toInstances(response.body));
    });
}

void HttpInstanceList::report(const Instance& instance, ReportHandler handler)
{
    const bool isLive = instance.health == InstanceHealth::Alive || instance.health == InstanceHealth::Suspect;
    const json::object body {
        { "life", instance.life.value() },
        { "zone", instance.zone.value() },
        { "state", isLive ? stateLive : stateLeaving },
        { "address", instance.inner.address },
        { "inner", instance.inner.port },
        { "http", instance.http.port },
    };
    PlatformCall call { PlatformCallKind::Report, "/v1/instances/" + percentEncode(instance.name.value()), json::serialize(body), {} };
    m_client->call(std::move(call), [handler = std::move(handler)](const PlatformResponse& response) { handler(response.status == StoreStatus::Ok); });
}

}
