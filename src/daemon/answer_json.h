#pragma once

#include "http/http_message.h"
#include "query/answer.h"

#include <string>
#include <string_view>

namespace lycheefield {

/// Formats the JSON body of an answer, as docs/INTERFACES.md describes it.
std::string formatAnswer(const Answer&);
/// Returns the whole HTTP response: status, body, X-Request-Id and Retry-After.
HttpResponse toHttpResponse(const Answer&);
/// Returns the response to a request that was refused before it reached a query engine; no part of the request ran.
HttpResponse refusalResponse(unsigned status, const RequestId&, const Error&, Duration retryAfter = {});
/// Returns the HTTP status of a refusal: 502 rather than 503 for an unavailable or overloaded service when the
/// run state is unknown, because the request may have run.
unsigned statusOf(const Error&, RunState);
/// Formats a text as a JSON string, with its quotes.
std::string quoteJson(std::string_view);

}
