#include "http/http_response_reader.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string_view>

namespace lycheefield {

namespace http = boost::beast::http;

namespace {

/// Status codes outside the first interim and the last final one are invalid (RFC 9110, section 15).
constexpr unsigned firstInterimStatus = 100;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastFinalStatus = 599;
/// The interim response that ends HTTP on the connection. No request asks for it.
constexpr unsigned switchingProtocols = 101;
/// HTTP/1.1, as the parser writes it.
constexpr unsigned httpVersion = 11;

/// Whether a line continues the field of the line before it, which the parser allows and a gateway must not pass on (RFC 9112, section
/// 5.2). Precondition: the bytes are whole lines of a head.
bool hasFoldedLine(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

}

HttpResponseReader::HttpResponseReader(const HttpLimits& limits)
    : m_limits(limits)
{
    startMessage();
}

void HttpResponseReader::startMessage()
{
    m_parser.emplace();
    m_parser->header_limit(m_limits.maxHeaderBytes);
    m_parser->body_limit(m_limits.maxBodyBytes);
    // The head is parsed alone, so that it can be checked before its body.
    m_parser->eager(false);
}

HttpResponseReader::State HttpResponseReader::take(boost::beast::flat_buffer& buffer)
{
    if (!parse(buffer))
        return State::Malformed;
    if (m_isBodyDiscarded)
        discardBody();
    while (m_parser->is_done() && isInterim()) {
        startMessage();
        if (!parse(buffer))
            return State::Malformed;
    }
    if (m_parser->is_done())
        return State::Done;
    // The parser leaves the bytes of a chunk's size line or trailer in the buffer until they end, without a limit of its own.
    if (buffer.size() > m_limits.maxHeaderBytes)
        return fail("it has more framing bytes than a header may have");
    return State::NeedsMore;
}

bool HttpResponseReader::parse(boost::beast::flat_buffer& buffer)
{
    boost::system::error_code ec;
    while (buffer.size() > 0 && !m_parser->is_done() && !ec) {
        const bool isHead = !m_parser->is_header_done();
        const auto n = m_parser->put(buffer.data(), ec);
        if (ec && ec != http::error::need_more) {
            fail(ec.message());
            return false;
        }
        if (isHead && hasFoldedLine({ static_cast<const char*>(buffer.data().data()), n })) {
            fail("its head has a folded line");
            return false;
        }
        buffer.consume(n);
        m_headBytes += isHead ? n : 0;
        if (isHead && m_parser->is_header_done() && !checkHead())
            return false;
        if (n == 0)
            break;
    }
    return true;
}

bool HttpResponseReader::checkHead()
{
    // The parser's own limit is not exact, and is for each head alone.
    if (m_headBytes > m_limits.maxHeaderBytes) {
        fail("its head, with the interim responses before it, is longer than a header may be");
        return false;
    }
    const auto status = m_parser->get().result_int();
    if (status < firstInterimStatus || status > lastFinalStatus || status == switchingProtocols) {
        fail("its status " + std::to_string(status) + " is not that of a response");
        return false;
    }
    if (!isInterim() && !hasKnownCoding()) {
        fail("its body has a transfer coding other than chunked");
        return false;
    }
    m_parser->eager(true);
    copyHead();
    return true;
}

void HttpResponseReader::copyHead()
{
    // Now, because the parser adds the fields of a trailer to those of the head.
    m_response = {};
    m_response.contentType.clear();
    m_response.status = m_parser->get().result_int();
    for (const auto& field : m_parser->get())
        m_response.headers.add({ field.name_string().data(), field.name_string().size() }, { field.value().data(), field.value().size() });
}

bool HttpResponseReader::hasKnownCoding() const
{
    const auto& message = m_parser->get();
    const auto fields = message.count(http::field::transfer_encoding);
    if (fields == 0)
        return true;
    // HTTP/1.0 has no transfer codings (RFC 9112, section 6.1).
    const bool isAllowed = fields == 1 && message.version() >= httpVersion;
    return isAllowed && boost::beast::iequals(message[http::field::transfer_encoding], "chunked");
}

bool HttpResponseReader::isInterim() const
{
    return m_parser->get().result_int() < firstFinalStatus;
}

void HttpResponseReader::discardBody()
{
    m_isBodyDiscarded = true;
    std::string().swap(m_parser->get().body());
}

HttpResponseReader::State HttpResponseReader::takeEnd()
{
    if (!m_parser->is_header_done())
        return fail("the connection ended before the head did");
    boost::system::error_code ec;
    m_parser->put_eof(ec);
    if (ec)
        return fail(ec.message());
    return m_parser->is_done() ? State::Done : fail("the connection ended before the body did");
}

HttpResponseReader::State HttpResponseReader::fail(std::string reason)
{
    m_reason = std::move(reason);
    return State::Malformed;
}

std::uint64_t HttpResponseReader::heldBytes() const
{
    // While a body grows, it is copied to twice its size.
    constexpr std::uint64_t growth = 2;
    const auto& body = m_parser->get().body();
    return m_headBytes + std::min<std::uint64_t>(body.capacity(), growth * body.size());
}

bool HttpResponseReader::keepAlive() const
{
    return m_parser->get().keep_alive();
}

HttpResponse HttpResponseReader::release()
{
    m_response.body = std::move(m_parser->get().body());
    return std::move(m_response);
}

}
