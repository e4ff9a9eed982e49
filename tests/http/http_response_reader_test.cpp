#include "http/http_response_reader.h"

#include <boost/asio/buffer.hpp>

#include <doctest/doctest.h>

#include <string_view>

namespace lycheefield {

namespace {

using State = HttpResponseReader::State;

/// Reads one response from bytes that arrive at once, or one by one.
struct ReaderFixture {
    State take(std::string_view bytes)
    {
        buffer.commit(boost::asio::buffer_copy(buffer.prepare(bytes.size()), boost::asio::buffer(bytes)));
        return reader.take(buffer);
    }
    State takeOneByOne(std::string_view bytes)
    {
        auto state = State::NeedsMore;
        for (std::size_t i = 0; i < bytes.size() && state == State::NeedsMore; ++i)
            state = take(bytes.substr(i, 1));
        return state;
    }

    HttpResponseReader reader { HttpLimits() };
    boost::beast::flat_buffer buffer;
};

/// Checks that the bytes are malformed, however they arrive, as soon as all of them are there.
void checkMalformed(const std::string& bytes)
{
    CAPTURE(bytes);
    CHECK((ReaderFixture().take(bytes) == State::Malformed));
    CHECK((ReaderFixture().takeOneByOne(bytes) == State::Malformed));
}

}

TEST_SUITE_BEGIN("http");

// Guards against a status that is none: callers would get it as the answer of a server.
TEST_CASE("A response whose status is outside 200 to 599 is malformed as soon as its head has been read")
{
    for (const auto* status : { "000", "001", "099", "600", "777", "999" }) {
        const auto line = std::string("HTTP/1.1 ") + status + " Trouble\r\nLycheefield-Response-Stamp: s\r\n";
        checkMalformed(line + "Content-Length: 5\r\n\r\n");
        checkMalformed(line + "Transfer-Encoding: chunked\r\n\r\n");
        checkMalformed(line + "\r\n");
    }
    for (const auto* status : { "200", "204", "299", "404", "500", "599" }) {
        CAPTURE(status);
        ReaderFixture fixture;
        CHECK((fixture.take(std::string("HTTP/1.1 ") + status + " \r\nContent-Length: 0\r\n\r\n") == State::Done));
        CHECK(fixture.reader.release().status == std::stoul(status));
    }
}

TEST_SUITE_END();

}
