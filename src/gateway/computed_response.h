#pragma once

#include "http/http_server.h"

#include <functional>
#include <memory>
#include <utility>

namespace lycheefield {

/// Responds to every request with the result of a function, which is called on any thread of the server.
class ComputedResponse final : public HttpHandler {
public:
    using ResponseSource = std::function<HttpResponse()>;

    explicit ComputedResponse(ResponseSource source)
        : m_source(std::move(source))
    {
    }
    void handle(HttpRequest, std::shared_ptr<HttpExchange> exchange) override { exchange->respond(m_source()); }

private:
    ResponseSource m_source;
};

}
