#pragma once

#include "base/clock.h"
#include "base/stored_object.h"
#include "platform/platform_client_settings.h"
#include "platform/platform_counters.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <string>

namespace lycheefield {

/// What kind of call it is: which budget it spends, and how its end is read.
enum class PlatformCallKind : std::uint8_t {
    Read,
    Write,
    Create, ///< A write by POST, of an object that does not exist.
    List,
    Watch,
    Instances,
    Report,
};

struct PlatformCall {
    PlatformCallKind kind = PlatformCallKind::Read;
    std::string target;
    std::string body;
    Duration timeout {}; ///< Zero: the settings' callTimeout.
};

struct PlatformResponse {
    StoreStatus status = StoreStatus::Unavailable;
    std::string body;
    std::int64_t answeredAt = 0; ///< The platform's clock when it answered, in seconds since the Unix epoch; 0 when it did not tell.
};

/// Calls the platform over HTTP: keep-alive connections, timeouts, call budget, a pause with backoff
/// after refusals, and counters. Thread safe.
///
/// A call that fails before a byte of it was handed to a connection ends as Unavailable, afterwards as
/// Lost. Nothing is tried twice here but a read on a kept connection that the platform had closed.
class PlatformClient {
public:
    using Handler = std::function<void(PlatformResponse)>;

    /// Handlers run on the executor.
    PlatformClient(const boost::asio::any_io_executor&, const PlatformClientSettings&);
    /// Closes all connections; calls under way end as Unavailable or Lost.
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    void call(PlatformCall, Handler);
    PlatformCounters counters() const;
    const PlatformClientSettings& settings() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

}
