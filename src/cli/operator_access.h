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

/// Answer to one call of the store.
struct OperatorStoreReply {
    StoreStatus status = StoreStatus::Unavailable;
    StoredObject object;
};

/// What the operators' commands reach: the platform's store, its instance list, and the instances.
/// Calls block until the answer is there or its time is over. Not thread safe.
class OperatorAccess {
public:
    virtual ~OperatorAccess() = default;
    virtual OperatorStoreReply read(const std::string& key) = 0;
    virtual OperatorStoreReply write(const std::string& key, ObjectVersion expected, const std::string& value) = 0;
    virtual WatchBatch list(const std::string& prefix) = 0;
    /// Empty when the platform does not answer.
    virtual std::optional<std::vector<Instance>> instances() = 0;
    /// Empty when the instance does not answer.
    virtual std::optional<HttpResponse> call(const Instance&, const HttpRequest&) = 0;
    virtual void pause(Duration) = 0;
    virtual TimePoint now() const = 0;
};

}
