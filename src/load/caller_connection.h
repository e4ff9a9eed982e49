#pragma once

#include "base/endpoint.h"
#include "base/time.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace lycheefield {

/// A caller's keep-alive connection to one instance, with one request at a time.
///
/// Keeps itself alive while a request is in flight. Not thread safe: to be used from the thread that runs the
/// io_context.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    struct Answer {
        bool arrived = false; ///< False when the connection failed or the time-out passed.
        unsigned status = 0;
        std::string body;
        std::string requestId; ///< X-Request-Id of the answer.
        bool wasNotSent = false; ///< The load tool itself had no descriptor, port or memory to connect; the instance was not asked.
    };
    using Handler = std::function<void(const Answer&)>;
    using Headers = std::vector<std::pair<std::string, std::string>>;

    static std::shared_ptr<CallerConnection> create(boost::asio::io_context&, const Endpoint&, Duration timeout);
    virtual ~CallerConnection() = default;

    /// Sends a POST request; connects first if needed. Precondition: the last request has been answered.
    virtual void post(const std::string& path, const Headers&, const std::string& body, Handler) = 0;
    /// False once an error or the last answer has ended the connection, which must not be used again.
    virtual bool isUsable() const = 0;
};

}
