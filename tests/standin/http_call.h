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

/// Makes one blocking HTTP call on a new connection. Returns no value when the peer can't be reached or
/// sends no response. For stand-ins, tests and tools only: the call blocks its thread.
std::optional<HttpResponse> httpCall(const Endpoint&, const std::string& method, const std::string& target, const std::string& body = {}, const std::map<std::string, std::string>& headers = {});

}
