#include "http/http_request_reader.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace lycheefield {

namespace http = boost::beast::http;

namespace {

constexpr unsigned badRequest = 400;
constexpr unsigned bodyTooLarge = 413;
constexpr unsigned headerTooLarge = 431;

}

HttpRequestReader::HttpRequestReader(const HttpLimits& limits)
    : m_maxUnparsed(limits.maxHeaderBytes)
{
    m_parser.header_limit(limits.maxHeaderBytes);
    m_parser.body_limit(limits.maxBodyBytes);
    m_parser.eager(true);
}

HttpRequestReader::State HttpRequestReader::take(boost::beast::flat_buffer& buffer)
{
    boost::system::error_code ec;
    while (buffer.size() > 0 && !m_parser.is_done() && !ec) {
        const auto n = m_parser.put(buffer.data(), ec);
        buffer.consume(n);
        if (n == 0)
            break;
    }
    if (ec && ec != http::error::need_more)
        return refuse(ec);
    if (!m_parser.is_done())
        return buffer.size() > m_maxUnparsed ? refuse(headerTooLarge, "chunk header or trailer too long") : State::NeedsMore;
    // The parser reads no body of another encoding, which would then be read as the next request.
    const bool hasOtherEncoding = m_parser.get().count(http::field::transfer_encoding) > 0 && !m_parser.chunked();
    if (hasOtherEncoding)
        return refuse(badRequest, "Transfer-Encoding other than chunked");
    m_keepAlive = m_parser.get().keep_alive();
    return State::Done;
}

HttpRequestReader::State HttpRequestReader::refuse(const boost::system::error_code& ec)
{
    auto status = badRequest;
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        status = headerTooLarge;
    else if (ec == http::error::body_limit)
        status = bodyTooLarge;
    return refuse(status, ec.message());
}

HttpRequestReader::State HttpRequestReader::refuse(unsigned status, std::string reason)
{
    m_status = status;
    m_reason = std::move(reason);
    return State::Refused;
}

bool HttpRequestReader::takeExpectation()
{
    if (m_expectationTaken || !m_parser.is_header_done())
        return false;
    m_expectationTaken = true;
    return boost::beast::iequals(m_parser.get()[http::field::expect], "100-continue");
}

HttpRequest HttpRequestReader::release()
{
    auto message = m_parser.release();
    HttpRequest request;
    request.method.assign(message.method_string().data(), message.method_string().size());
    request.target.assign(message.target().data(), message.target().size());
    for (const auto& field : message)
        request.headers.add({ field.name_string().data(), field.name_string().size() }, { field.value().data(), field.value().size() });
    request.body = std::move(message.body());
    return request;
}

}
