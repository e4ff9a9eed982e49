#pragma once

#include "base/time.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lycheefield {

struct Endpoint;

enum class PlatformMethod : std::uint8_t {
    Get,
    Put,
    Post,
};

/// An HTTP request on its way to the platform.
struct HttpExchange {
    PlatformMethod method = PlatformMethod::Get;
    std::string target;
    std::string body;
};

/// How an HTTP exchange ended.
struct HttpExchangeResult {
    bool isAnswered = false;
    bool wasSent = false; ///< At least one byte was handed to the connection.
    unsigned int status = 0;
    std::string body;
    std::string date; ///< The answer's Date header.
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

/// One HTTP connection that carries one exchange at a time. It keeps itself alive while an operation
/// runs. Not thread safe: all calls and handlers on the executor it was built with.
class PlatformConnection {
public:
    using ConnectHandler = std::function<void(bool isConnected)>;
    using ExchangeHandler = std::function<void(HttpExchangeResult)>;

    virtual ~PlatformConnection() = default;
    virtual void connect(const Endpoint&, Duration timeout, ConnectHandler) = 0;
    /// Precondition: connected, and no exchange runs.
    virtual void exchange(const HttpExchange&, Duration timeout, ExchangeHandler) = 0;
    /// False when the last answer ended the connection, or an error did.
    virtual bool isOpen() const = 0;
    /// Ends what runs; its handler is called with a failure.
    virtual void close() = 0;
};

std::shared_ptr<PlatformConnection> makePlatformConnection(const boost::asio::any_io_executor&);

}
