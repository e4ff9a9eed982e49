#pragma once

#include "base/time.h"
#include "base/units.h"

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
    Delete,
};

/// An HTTP request to the platform.
struct HttpExchange {
    PlatformMethod method = PlatformMethod::Get;
    std::string target;
    std::string body;
};

/// The outcome of an HTTP exchange.
struct HttpExchangeResult {
    bool hasResponse = false;
    bool wasSent = false; ///< At least one byte was written to the connection.
    unsigned int status = 0;
    std::string body;
    std::string date; ///< The response's Date header.
    std::string epoch; ///< The response's header with the store's epoch.
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

/// One HTTP connection that carries one exchange at a time. A connection keeps itself alive while an
/// operation is in flight. Not thread safe: all calls and handlers run on the connection's executor.
class PlatformConnection {
public:
    using ConnectHandler = std::function<void(bool isConnected)>;
    using ExchangeHandler = std::function<void(HttpExchangeResult)>;

    virtual ~PlatformConnection() = default;
    virtual void connect(const Endpoint&, Duration timeout, ConnectHandler) = 0;
    /// Precondition: connected, and no exchange in flight.
    virtual void exchange(const HttpExchange&, Duration timeout, ExchangeHandler) = 0;
    /// Why the last operation failed, for logs; empty when none has.
    virtual const std::string& failure() const = 0;
    /// Returns whether connect() failed because this process or machine had no descriptor, port or memory for the connection.
    virtual bool lackedResources() const = 0;
    /// False once the last response or an error has ended the connection.
    virtual bool isOpen() const = 0;
    /// Aborts the operation in flight, whose handler is called with a failure.
    virtual void close() = 0;
};

/// A response with a longer body than maxResponse fails its exchange and closes the connection. epochHeader: see PlatformClientSettings.
std::shared_ptr<PlatformConnection> makePlatformConnection(const boost::asio::any_io_executor&, ByteCount maxResponse, const std::string& epochHeader = {});

}
