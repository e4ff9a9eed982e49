#include "daemon/packed_response.h"

#include "base/digits.h"

#include <optional>

namespace lycheefield {

namespace {

constexpr std::size_t statusDigits = 3;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastFinalStatus = 599;

/// Returns the status of a final response; nothing for any other text.
std::optional<unsigned> finalStatus(std::string_view text)
{
    const auto number = parseDigits(text);
    if (text.size() != statusDigits || !number || *number < firstFinalStatus || *number > lastFinalStatus)
        return std::nullopt;
    return static_cast<unsigned>(*number);
}

}

std::string packResponse(const HttpResponse& response)
{
    return std::to_string(response.status) + " " + response.body;
}

HttpResponse unpackResponse(std::string_view payload)
{
    const auto status = finalStatus(payload.substr(0, statusDigits));
    if (!status || payload.substr(statusDigits, 1) != " ")
        return { 502, "text/plain", "the instance that took this request gave no answer that can be read\n" };
    const auto body = payload.substr(statusDigits + 1);
    const bool isJson = !body.empty() && body.front() == '{';
    return { *status, isJson ? "application/json" : "text/plain", std::string(body) };
}

}
