#pragma once

#include "base/stored_object.h"
#include "base/time.h"
#include "http/http_message.h"
#include "membership/view.h"
#include "platform/object_store.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheefield {

/// The store's response to one call.
struct OperatorStoreResponse {
    StoreStatus status = StoreStatus::Unavailable;
    StoredObject object;
};

/// Access of the operators' commands to the platform's store, its instance list, and the instances. Calls
/// block until the response or a time-out. Not thread safe.
class OperatorAccess {
public:
    virtual ~OperatorAccess() = default;
    virtual OperatorStoreResponse read(const std::string& key) = 0;
    virtual OperatorStoreResponse write(const std::string& key, ObjectVersion expected, const std::string& value) = 0;
    virtual WatchBatch list(const std::string& prefix) = 0;
    /// Returns nothing when the platform does not respond.
    virtual std::optional<std::vector<Instance>> instances() = 0;
    /// Returns nothing when the instance does not respond.
    virtual std::optional<HttpResponse> call(const Instance&, const HttpRequest&) = 0;
    virtual void pause(Duration) = 0;
    virtual TimePoint now() const = 0;
};

}
