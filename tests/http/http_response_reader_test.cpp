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

TEST_CASE("A response whose status is no number of three digits is malformed")
{
    for (const auto* status : { "", "0", "20", "2000", "00200", "2OO", "+20", "-20", "2e2", "0x2" }) {
        CAPTURE(status);
        checkMalformed(std::string("HTTP/1.1 ") + status + " Trouble\r\nContent-Length: 0\r\n\r\n");
    }
}

// Guards against an interim response that is taken for the answer, while the real one is thrown away.
TEST_CASE("Interim responses are skipped, and the final response is read")
{
    const std::string finalResponse = "HTTP/1.1 200 OK\r\nX-Real: yes\r\nContent-Length: 2\r\n\r\n{}";
    const std::string continuation = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nX-Real: no\r\n\r\n";
    const auto checkFinal = [&](ReaderFixture& fixture) {
        CHECK(fixture.reader.keepAlive());
        CHECK(fixture.buffer.size() == 0);
        const auto response = fixture.reader.release();
        CHECK(response.status == 200);
        CHECK(response.headers.find("X-Real") == "yes");
        CHECK(response.headers.count("X-Real") == 1);
        CHECK(response.body == "{}");
    };
    const auto several = continuation + hints + continuation;
    for (const auto& interim : { continuation, hints, several, std::string("HTTP/1.1 199 Wait\r\n\r\n") }) {
        CAPTURE(interim);
        ReaderFixture together;
        CHECK((together.take(interim + finalResponse) == State::Done));
        checkFinal(together);
        ReaderFixture byteByByte;
        CHECK((byteByByte.takeOneByOne(interim + finalResponse) == State::Done));
        checkFinal(byteByByte);
        ReaderFixture apart;
        CHECK((apart.take(interim) == State::NeedsMore));
        CHECK((apart.take(finalResponse) == State::Done));
        checkFinal(apart);
    }
}

TEST_CASE("Interim responses that lead to no final response are malformed")
{
    const std::string continuation = "HTTP/1.1 100 Continue\r\n\r\n";
    SUBCASE("The connection ends after an interim response")
    {
        ReaderFixture fixture;
        CHECK((fixture.take(continuation) == State::NeedsMore));
        CHECK((fixture.reader.takeEnd() == State::Malformed));
    }
    SUBCASE("The server switches protocols, for which no request asks")
    {
        checkMalformed("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n");
    }
    SUBCASE("An interim response has a body")
    {
        ReaderFixture fixture;
        CHECK((fixture.take("HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\nhello\r\n\r\n") == State::Malformed));
    }
    SUBCASE("They have no end")
    {
        ReaderFixture fixture;
        auto state = State::NeedsMore;
        std::size_t taken = 0;
        for (; state == State::NeedsMore && taken <= HttpLimits().maxHeaderBytes; taken += continuation.size())
            state = fixture.take(continuation);
        CHECK((state == State::Malformed));
        CHECK(taken > HttpLimits().maxHeaderBytes / 2);
    }
}

// Guards against a body whose coding was not taken off: it is not the body that the server means.
TEST_CASE("A response with another transfer coding than chunked is malformed")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const auto coded = [](const std::string& codings) { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + codings + "\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"; };
    const std::string chunks = "\r\n5\r\nabcde\r\n0\r\n\r\n";
    for (const auto* codings : { "gzip", "xchunked", "identity", "chunked, gzip", "gzip, chunked", "chunked, chunked", "chunked;q=1", "" })
        checkMalformed(coded(codings));
    checkMalformed(head + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" + chunks);
    checkMalformed(head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n" + chunks);
    SUBCASE("HTTP/1.0 has no transfer codings") { checkMalformed("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks); }
    SUBCASE("A length besides leaves open where the body ends")
    {
        checkMalformed(head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n" + chunks);
        checkMalformed(head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n" + chunks);
        checkMalformed(head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef");
    }
    SUBCASE("Chunked is read in any case of letters")
    {
        for (const auto* coding : { "chunked", "Chunked", " CHUNKED\t" }) {
            ReaderFixture fixture;
            CHECK((fixture.take(coded(coding)) == State::Done));
            CHECK(fixture.reader.release().body == "abcde");
        }
    }
}

// Guards against a line that begins with a blank and becomes a part of the field before it, such as of a signature.
TEST_CASE("A response with a folded line is malformed")
{
    for (const std::string fold : { "\r\n A: c", "\r\n\tA: c", "\r\n ", " \r\n  b" }) {
        checkMalformed("HTTP/1.1 200 OK\r\nX-First: a" + fold + "\r\nContent-Length: 2\r\n\r\n{}");
        checkMalformed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Last: a" + fold + "\r\n\r\n{}");
        checkMalformed("HTTP/1.1 103 Early Hints\r\nLink: a" + fold + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    }
    SUBCASE("A body may hold what a folded line looks like")
    {
        const std::string body = "a\r\n b\r\n\tc";
        const auto response = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + body;
        ReaderFixture together;
        CHECK((together.take(response) == State::Done));
        CHECK(together.reader.release().body == body);
        ReaderFixture byteByByte;
        CHECK((byteByByte.takeOneByOne(response) == State::Done));
    }
}

// Guards against a field behind the body that counts like one of the head: a proof that nothing ran, or a second signature.
TEST_CASE("The fields of a trailer are not those of the head")
{
    const std::string response = "HTTP/1.1 200 OK\r\nX-Head: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-Trailer: b\r\nX-Head: c\r\n\r\n";
    ReaderFixture together;
    CHECK((together.take(response) == State::Done));
    ReaderFixture byteByByte;
    CHECK((byteByByte.takeOneByOne(response) == State::Done));
    for (auto* it : { &together, &byteByByte }) {
        CHECK(it->reader.keepAlive());
        CHECK(it->buffer.size() == 0);
        const auto read = it->reader.release();
        CHECK(read.body == "{}");
        CHECK(read.headers.count("X-Trailer") == 0);
        CHECK(read.headers.count("X-Head") == 1);
        CHECK(read.headers.find("X-Head") == "a");
    }
}

TEST_CASE("The limit of a head is the same however its bytes arrive, and includes the interim responses before it")
{
    const auto limit = HttpLimits().maxHeaderBytes;
    const auto headOf = [](std::size_t bytes) {
        const std::string start = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Long: ";
        return start + std::string(bytes - start.size() - 4, 'x') + "\r\n\r\n";
    };
    CHECK((ReaderFixture().take(headOf(limit)) == State::Done));
    CHECK((ReaderFixture().takeOneByOne(headOf(limit)) == State::Done));
    checkMalformed(headOf(limit + 1));
    const std::string continuation = "HTTP/1.1 100 Continue\r\n\r\n";
    CHECK((ReaderFixture().take(continuation + headOf(limit - continuation.size())) == State::Done));
    checkMalformed(continuation + headOf(limit - continuation.size() + 1));
}

TEST_SUITE_END();

}
