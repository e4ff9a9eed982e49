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
/// Use it from the thread that runs the io_context. Keeps itself alive while a request is out.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    struct Reply {
        bool arrived = false; ///< False when the connection broke or the time ran out.
        unsigned status = 0;
        std::string body;
        std::string requestId; ///< X-Request-Id of the answer.
    };
    using Handler = std::function<void(const Reply&)>;
    using Headers = std::vector<std::pair<std::string, std::string>>;

    static std::shared_ptr<CallerConnection> create(boost::asio::io_context&, const Endpoint&, Duration timeout);
    virtual ~CallerConnection() = default;

    /// Connects first when needed. Precondition: the last request has been answered.
    virtual void post(const std::string& path, const Headers&, const std::string& body, Handler) = 0;
    /// False after an error: it must not be used again.
    virtual bool isUsable() const = 0;
};

}
