#pragma once

#include "http/http_message.h"

#include <string_view>
#include <vector>

namespace lycheefield {

/// Whether a header concerns one connection only and is never passed on. The tokens are those of the
/// message's Connection header.
bool isHopByHop(std::string_view name, const HttpHeaders&);

/// The comma-separated items of a header value, without blanks around them.
std::vector<std::string_view> splitItems(std::string_view);

}
