#pragma once

#include "http/http_limits.h"
#include "http/http_message.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace lycheefield {

/// Incremental parser for one request that enforces the limits. Does no I/O. Not thread safe.
///
/// Private to the package: only its sources, tests and fuzz targets include this header.
class HttpRequestReader {
public:
    enum class State : std::uint8_t {
        NeedsMore,
        Done,
        Refused, ///< The request is malformed or too large; see status() and reason().
    };

    explicit HttpRequestReader(const HttpLimits&);

    /// Consumes the bytes of this request from the buffer; bytes after the request stay in the buffer.
    /// Precondition: the state is NeedsMore.
    State take(boost::beast::flat_buffer&);

    /// Returns the status code for the refusal. Precondition: the state is Refused.
    unsigned status() const { return m_status; }
    const std::string& reason() const { return m_reason; }
    bool isHeaderDone() const { return m_parser.is_header_done(); }
    /// Returns true once if the caller sent "Expect: 100-continue" and waits with its body.
    bool takeExpectation();
    /// Whether the request allows the connection to stay open. Precondition: the state is Done.
    bool keepAlive() const { return m_keepAlive; }
    /// Moves the request out of the reader. Precondition: the state is Done, and release() was not called before.
    HttpRequest release();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    State refuse(const boost::system::error_code&);
    State refuse(unsigned status, std::string reason);

    Parser m_parser;
    std::size_t m_maxUnparsed; ///< Limit on the bytes of a chunk's size line or of a trailer, for which the parser has none.
    std::string m_reason;
    unsigned m_status = 0;
    bool m_expectationTaken = false;
    bool m_keepAlive = false;
};

}
