#pragma once

#include "http/http_message.h"
#include "query/answer.h"

#include <string>
#include <string_view>

namespace lycheefield {

/// The JSON body of an answer, as docs/INTERFACES.md describes it.
std::string formatAnswer(const Answer&);
/// The whole reply: status, body, X-Request-Id and Retry-After.
HttpResponse toHttpResponse(const Answer&);
/// A refusal that never reached a query engine; nothing of it ran.
HttpResponse refusalResponse(unsigned status, const RequestId&, const Error&, Duration retryAfter = {});
/// The status that goes with a refusal. runState tells apart what is unknown from what did not run.
unsigned statusOf(const Error&, RunState);
/// Text as a JSON string, with its quotes.
std::string quoteJson(std::string_view);

}
