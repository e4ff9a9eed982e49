#pragma once

#include "base/endpoint.h"

#include <map>
#include <optional>
#include <string>

namespace lycheefield::standin {

struct HttpResponse {
    unsigned status = 0;
    std::string body;
    std::map<std::string, std::string> headers;
};

/// One blocking HTTP call on a connection of its own; empty when the peer can't be reached or
/// does not answer. For stand-ins and tools, never on a request's path.
std::optional<HttpResponse> httpCall(const Endpoint&, const std::string& method, const std::string& target, const std::string& body = {}, const std::map<std::string, std::string>& headers = {});

}
