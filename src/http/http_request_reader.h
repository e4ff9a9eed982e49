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

/// Reads one request out of bytes as they come, within the limits. Does no I/O. Not thread safe.
///
/// Private to the package: only its sources, tests and fuzz targets include this header.
class HttpRequestReader {
public:
    enum class State : std::uint8_t {
        NeedsMore,
        Done,
        Refused, ///< Malformed or too large: see status() and reason().
    };

    explicit HttpRequestReader(const HttpLimits&);

    /// Takes what belongs to this request out of the buffer; what follows it stays there.
    /// Precondition: the state is NeedsMore.
    State take(boost::beast::flat_buffer&);

    /// The status to refuse with. Precondition: Refused.
    unsigned status() const { return m_status; }
    const std::string& reason() const { return m_reason; }
    bool isHeaderDone() const { return m_parser.is_header_done(); }
    /// True once when the caller waits for permission to send its body.
    bool takeExpectation();
    /// Whether the caller wants to keep the connection. Precondition: Done.
    bool keepAlive() const { return m_keepAlive; }
    /// Precondition: Done; call it once.
    HttpRequest release();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    State refuse(const boost::system::error_code&);

    Parser m_parser;
    std::string m_reason;
    unsigned m_status = 0;
    bool m_expectationTaken = false;
    bool m_keepAlive = false;
};

}
