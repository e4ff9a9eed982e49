#pragma once

#include "base/clock.h"
#include "base/stored_object.h"
#include "platform/failure_cause.h"
#include "platform/platform_client_settings.h"
#include "platform/platform_counters.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lycheefield {

/// The kind of a call, which decides the budget that the call draws on, the HTTP method and the counter.
enum class PlatformCallKind : std::uint8_t {
    Read,
    Write,
    Create, ///< A write by POST of an object that does not exist yet.
    Remove, ///< By DELETE.
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
    std::int64_t respondedAt = 0; ///< The response's Date, in seconds since the Unix epoch; 0 when absent.
    std::optional<std::uint64_t> epoch {}; ///< Of the store that responded; empty when the response names none that can be read.
    std::string why {}; ///< Why the status is not Ok, for logs.
    FailureCause cause = FailureCause::Store; ///< Of a status that is not Ok.
    Duration pauseLeft {}; ///< With cause ClientPause: the time until the client sends calls again.
};

/// HTTP client of the platform with keep-alive connections, time-outs, call budgets, counters, and a pause
/// with exponential back-off after several refusals in a row. Thread safe.
///
/// A call that fails before any byte was written to a connection ends as Unavailable, a call that fails later
/// as Lost. The client retries nothing but a read, list or fetch on a reused connection that the platform had
/// closed. A call for which this process or machine lacked resources is no refusal and begins no pause.
class PlatformClient {
public:
    using Handler = std::function<void(PlatformResponse)>;

    /// All handlers run on the executor.
    PlatformClient(const boost::asio::any_io_executor&, const PlatformClientSettings&);
    /// Closes all connections; calls in flight end as Unavailable or Lost.
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
