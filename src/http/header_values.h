#pragma once

#include "http/http_message.h"

#include <string_view>
#include <vector>

namespace lycheefield {

/// Whether a header is hop-by-hop, so that a proxy does not forward the header: one of the fixed hop-by-hop
/// names, or a name that the message's Connection header lists.
bool isHopByHop(std::string_view name, const HttpHeaders&);

/// Returns the comma-separated items of a header value, each without the blanks around the item.
std::vector<std::string_view> splitItems(std::string_view);

}
