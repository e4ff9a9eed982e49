#pragma once

#include "base/endpoint.h"
#include "base/error.h"

#include <string_view>

namespace lycheefield {

/// True for an IPv4 number, such as 10.0.3.7. Thread safe.
bool isIpNumber(std::string_view);

/// Reads "IP:PORT", as 127.0.0.1:8080, with a port above 0. Host names are an error. Thread safe.
Result<Endpoint> parseEndpoint(std::string_view);

}
