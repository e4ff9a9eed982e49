#pragma once

#include "http/http_message.h"

#include <string>
#include <string_view>

namespace lycheefield {

/// HTTP responses as the payload of a response to another instance: the status, a space, the body. Thread safe.

std::string packResponse(const HttpResponse&);
/// Returns the packed response; one of status 502 for a payload that is none, so that what another instance sends never becomes a status
/// that HTTP doesn't have as the status of a final response.
HttpResponse unpackResponse(std::string_view payload);

}
