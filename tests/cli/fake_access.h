#pragma once

#include "base/random_source.h"
#include "cli/operator_access.h"
#include "standin/platform_store.h"

#include <functional>
#include <map>
#include <string>

namespace lycheefield {

using namespace std::chrono_literals;

/// The platform and some instances in memory, on a virtual clock that a pause advances at once.
class FakeAccess final : public OperatorAccess {
public:
    OperatorStoreResponse read(const std::string& key) override
    {
        const auto response = m_store.read(key, m_now);
        return { standin::toStoreStatus(response), response.object };
    }
    OperatorStoreResponse write(const std::string& key, ObjectVersion expected, const std::string& value) override
    {
        if (beforeWrite)
            std::exchange(beforeWrite, nullptr)();
        const auto response = m_store.write(key, expected, value, m_now);
        return { standin::toStoreStatus(response), response.object };
    }
    WatchBatch list(const std::string& prefix) override
    {
        const auto response = m_store.list(prefix, m_now);
        return { standin::toStoreStatus(response), StoreRevision { 0, response.revision }, response.objects };
    }
    std::optional<std::vector<Instance>> instances() override { return listed; }
    std::optional<HttpResponse> call(const Instance& instance, const HttpRequest& request) override
    {
        calls.push_back(instance.name.value() + " " + request.method + " " + request.target);
        return onCall ? onCall(instance, request) : std::nullopt;
    }
    void pause(Duration duration) override
    {
        m_now += duration;
        m_store.advance(m_now);
    }
    TimePoint now() const override { return m_now; }
    standin::PlatformStore& store() { return m_store; }

    std::optional<std::vector<Instance>> listed;
    std::function<std::optional<HttpResponse>(const Instance&, const HttpRequest&)> onCall;
    std::function<void()> beforeWrite; ///< Runs once, before the next write().
    std::vector<std::string> calls;

private:
    standin::PlatformStore m_store;
    TimePoint m_now { 1s };
};

}
