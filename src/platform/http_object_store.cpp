#include "platform/http_object_store.h"

#include "platform/percent_coding.h"

#include <boost/json.hpp>

#include <optional>

namespace lycheefield {

namespace {

namespace json = boost::json;

/// Excess of the client's time-out over the wait at the platform, so that the platform ends a watch first.
constexpr Duration watchMargin = 2s;

std::optional<json::object> parseBody(const std::string& body)
{
    json::error_code ec;
    auto value = json::parse(body, ec);
    if (ec || !value.is_object())
        return std::nullopt;
    return std::move(value.as_object());
}

std::optional<std::uint64_t> number(const json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    if (!value)
        return std::nullopt;
    const auto n = json::try_value_to<std::uint64_t>(*value);
    return n ? std::optional(*n) : std::nullopt;
}

std::optional<std::string> text(const json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    if (!value || !value->is_string())
        return std::nullopt;
    return std::string(value->as_string());
}

std::optional<StoredObject> toObject(const json::value& value)
{
    const auto* object = value.if_object();
    if (!object)
        return std::nullopt;
    auto key = text(*object, "key");
    const auto version = number(*object, "version");
    auto content = text(*object, "value");
    if (!key || !version || !content)
        return std::nullopt;
    return StoredObject { std::move(*key), ObjectVersion { *version }, std::move(*content) };
}

std::optional<WatchBatch> toBatch(const std::string& body)
{
    const auto parsed = parseBody(body);
    if (!parsed)
        return std::nullopt;
    const auto revision = number(*parsed, "revision");
    const auto* objects = parsed->if_contains("objects");
    if (!revision || !objects || !objects->is_array())
        return std::nullopt;
    WatchBatch batch { StoreStatus::Ok, { 0, *revision } };
    for (const auto& it : objects->get_array()) {
        auto object = toObject(it);
        if (!object)
            return std::nullopt;
        batch.changed.push_back(std::move(*object));
    }
    return batch;
}

/// A response that can't be parsed does not tell what the call did, hence Lost.
WatchBatch readBatch(const PlatformResponse& response)
{
    if (response.status == StoreStatus::Ok) {
        if (auto batch = toBatch(response.body))
            return std::move(*batch);
    }
    WatchBatch failed;
    failed.status = response.status == StoreStatus::Ok ? StoreStatus::Lost : response.status;
    failed.why = response.status == StoreStatus::Ok ? "malformed response" : response.why;
    failed.cause = response.cause;
    failed.pauseLeft = response.pauseLeft;
    return failed;
}

}

HttpObjectStore::HttpObjectStore(std::shared_ptr<PlatformClient> client)
    : m_client(std::move(client))
{
}

void HttpObjectStore::read(const std::string& key, ObjectHandler handler)
{
    PlatformCall call { PlatformCallKind::Read, "/v1/objects/" + percentEncode(key), {}, {} };
    m_client->call(std::move(call), [key, handler = std::move(handler)](const PlatformResponse& response) {
        if (response.status != StoreStatus::Ok)
            return handler(response.status, StoredObject { key, {}, {}, response.respondedAt });
        const auto parsed = parseBody(response.body);
        auto object = parsed ? toObject(*parsed) : std::nullopt;
        if (!object || object->key != key)
            return handler(StoreStatus::Lost, StoredObject { key, {}, {}, 0 });
        object->respondedAt = response.respondedAt;
        handler(StoreStatus::Ok, std::move(*object));
    });
}

void HttpObjectStore::write(const std::string& key, ObjectVersion expected, const std::string& value, ObjectHandler handler)
{
    const auto target = "/v1/objects/" + percentEncode(key) + "?if-version=" + std::to_string(expected.value);
    PlatformCall call { PlatformCallKind::Write, target, value, {} };
    m_client->call(std::move(call), [key, handler = std::move(handler)](const PlatformResponse& response) {
        const auto parsed = parseBody(response.body);
        const auto version = parsed ? number(*parsed, "version") : std::nullopt;
        const StoredObject object { key, ObjectVersion { version.value_or(0) }, {}, response.respondedAt };
        if (response.status == StoreStatus::Ok && !version)
            return handler(StoreStatus::Lost, object);
        handler(response.status, object);
    });
}

void HttpObjectStore::list(const std::string& prefix, ListHandler handler)
{
    PlatformCall call { PlatformCallKind::List, "/v1/list?prefix=" + percentEncode(prefix), {}, {} };
    m_client->call(std::move(call), [handler = std::move(handler)](const PlatformResponse& response) { handler(readBatch(response)); });
}

void HttpObjectStore::watch(const std::string& prefix, std::uint64_t afterRevision, Duration maxWait, ListHandler handler)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(std::min(maxWait, m_client->settings().watchTimeout));
    const auto target = "/v1/watch?prefix=" + percentEncode(prefix) + "&after=" + std::to_string(afterRevision)
        + "&timeout-ms=" + std::to_string(wait.count());
    PlatformCall call { PlatformCallKind::Watch, target, {}, wait + watchMargin };
    m_client->call(std::move(call), [handler = std::move(handler)](const PlatformResponse& response) { handler(readBatch(response)); });
}

}
