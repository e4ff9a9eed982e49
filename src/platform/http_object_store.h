#pragma once

#include "platform/object_store.h"
#include "platform/platform_client.h"

#include <memory>

namespace lycheefield {

/// The object API over HTTP, as docs/INTERFACES.md specifies it. Thread safe.
class HttpObjectStore final : public ObjectStore {
public:
    explicit HttpObjectStore(std::shared_ptr<PlatformClient>);

    void read(const std::string& key, ObjectHandler) override;
    void write(const std::string& key, ObjectVersion expected, const std::string& value, ObjectHandler) override;
    void list(const std::string& prefix, ListHandler) override;
    void watch(const std::string& prefix, std::uint64_t afterRevision, Duration maxWait, ListHandler) override;

private:
    std::shared_ptr<PlatformClient> m_client;
};

}
