// Reads arbitrary bytes as the response to a request, once at once and once in two pieces, the first of which the first
// input byte chooses. Both must end alike, and what is taken for a response must be one: a final status, fields of valid names and
// values, no coding but chunks, and no more bytes than the limits allow.

#include "http/http_response_reader.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string_view>

using namespace lycheefield;

namespace {

using State = HttpResponseReader::State;

HttpLimits limits()
{
    HttpLimits limits;
    limits.maxHeaderBytes = 512;
    limits.maxBodyBytes = 256;
    return limits;
}

void check(bool holds)
{
    if (!holds)
        std::abort();
}

bool isTokenByte(char c)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const bool isLetterOrDigit = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    return isLetterOrDigit || marks.find(c) != std::string_view::npos;
}

bool isValueByte(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

void checkResponse(const HttpResponse& response)
{
    check(response.status >= 200 && response.status <= 599);
    check(response.body.size() <= limits().maxBodyBytes);
    for (const auto& [name, value] : response.headers.fields()) {
        check(!name.empty() && std::all_of(name.begin(), name.end(), isTokenByte));
        check(std::all_of(value.begin(), value.end(), isValueByte));
    }
    check(response.headers.count("Transfer-Encoding") <= 1);
}

/// A response read from bytes that the server closes the connection after.
struct Reading {
    void add(std::string_view bytes)
    {
        if (state != State::NeedsMore)
            return;
        buffer.commit(boost::asio::buffer_copy(buffer.prepare(bytes.size()), boost::asio::buffer(bytes)));
        state = reader.take(buffer);
        check(state == State::Done || buffer.size() <= limits().maxHeaderBytes + bytes.size());
        check(reader.heldBytes() <= 2 * (limits().maxHeaderBytes + limits().maxBodyBytes) + bytes.size());
    }
    std::optional<HttpResponse> end()
    {
        if (state == State::NeedsMore)
            state = reader.takeEnd();
        check(state != State::NeedsMore);
        return state == State::Done ? std::optional(reader.release()) : std::nullopt;
    }

    HttpResponseReader reader { limits() };
    boost::beast::flat_buffer buffer;
    State state = State::NeedsMore;
};

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size < 2)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    const std::size_t split = data[0] % bytes.size();
    Reading whole;
    whole.add(bytes);
    Reading pieces;
    pieces.add(bytes.substr(0, split));
    pieces.add(bytes.substr(split));
    const auto response = whole.end();
    check(response == pieces.end());
    if (response)
        checkResponse(*response);
    return 0;
}
