#pragma once

#include "base/endpoint.h"
#include "base/error.h"

#include <string_view>

namespace lycheefield {

/// Whether the text is an IPv4 address in dotted decimal notation, such as 10.0.3.7. Thread safe.
bool isIpv4Address(std::string_view);

/// Parses "IP:PORT", such as 127.0.0.1:8080. Port 0 and host names are errors. Thread safe.
Result<Endpoint> parseEndpoint(std::string_view);

}
