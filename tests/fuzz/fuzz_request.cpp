// Requests of callers: whatever bytes come, and in whatever pieces, reading them ends in requests
// within the limits or in a refusal. The first byte chooses where the bytes are split.

#include "base/request_id.h"
#include "http/http_request_reader.h"
#include "observe/span.h"

#include <boost/asio/buffer.hpp>

#include <cstdint>
#include <cstdlib>
#include <optional>

using namespace lycheefield;

namespace {

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

void look(const HttpRequest& request)
{
    check(request.body.size() <= limits().maxBodyBytes);
    check(request.path().size() <= request.target.size());
    TraceParent::parse(std::string(request.headers.find("traceparent")));
    const auto path = request.path();
    if (const auto id = RequestId::parse(path.substr(path.rfind('/') + 1)))
        check(RequestId::parse(id->toString()) == id);
}

void append(boost::beast::flat_buffer& buffer, const std::uint8_t* data, std::size_t size)
{
    buffer.commit(boost::asio::buffer_copy(buffer.prepare(size), boost::asio::buffer(data, size)));
}

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size < 2)
        return 0;
    const std::size_t split = data[0] % (size - 1);
    boost::beast::flat_buffer buffer;
    std::optional<HttpRequestReader> reader(limits());
    append(buffer, data + 1, split);
    auto state = reader->take(buffer);
    reader->takeExpectation();
    append(buffer, data + 1 + split, size - 1 - split);
    while (true) {
        if (state == HttpRequestReader::State::NeedsMore && buffer.size() > 0)
            state = reader->take(buffer);
        if (state == HttpRequestReader::State::Refused)
            check(reader->status() >= 400 && reader->status() < 500);
        if (state != HttpRequestReader::State::Done)
            return 0;
        look(reader->release());
        if (buffer.size() == 0)
            return 0;
        reader.emplace(limits());
        state = HttpRequestReader::State::NeedsMore;
    }
}
