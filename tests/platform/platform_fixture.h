#pragma once

#include "platform/http_instance_list.h"
#include "platform/http_object_store.h"
#include "standin/platform_server.h"

#include <boost/asio/io_context.hpp>

#include <optional>

namespace lycheefield {

/// The stand-in platform and a client of the platform, on one io_context that only the test's thread runs.
struct PlatformFixture {
    explicit PlatformFixture(PlatformClientSettings changed = {})
        : server(context)
        , settings(std::move(changed))
    {
        settings.endpoint = { "127.0.0.1", server.listen("127.0.0.1", 0) };
        client = std::make_shared<PlatformClient>(context.get_executor(), settings);
        store = std::make_shared<HttpObjectStore>(client);
    }

    /// Runs the io_context until the value is set.
    template <typename T>
    const T& await(const std::optional<T>& value)
    {
        context.restart();
        while (!value && context.run_one() > 0) { }
        return value.value();
    }

    struct ObjectResult {
        StoreStatus status;
        StoredObject object;
    };

    ObjectResult write(const std::string& key, std::uint64_t expected, const std::string& value)
    {
        std::optional<ObjectResult> result;
        store->write(key, ObjectVersion { expected }, value, [&](StoreStatus status, StoredObject object) { result = ObjectResult { status, std::move(object) }; });
        return await(result);
    }
    ObjectResult read(const std::string& key)
    {
        std::optional<ObjectResult> result;
        store->read(key, [&](StoreStatus status, StoredObject object) { result = ObjectResult { status, std::move(object) }; });
        return await(result);
    }
    template <typename Change>
    void change(Change change)
    {
        auto faults = server.store().faults();
        change(faults);
        server.store().setFaults(faults);
    }

    boost::asio::io_context context { 1 };
    standin::PlatformServer server;
    PlatformClientSettings settings;
    std::shared_ptr<PlatformClient> client;
    std::shared_ptr<HttpObjectStore> store;
};

}
