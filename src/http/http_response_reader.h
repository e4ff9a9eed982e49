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

/// Reads the response to one request from the bytes of a connection. Interim responses (1xx) before it are skipped.
///
/// Everything that is not a final response in the protocol is malformed, so that no caller of this class takes it for an answer.
/// Included only by the sources of client connections, as it needs Beast. Not thread safe.
class HttpResponseReader {
public:
    enum class State {
        NeedsMore,
        Done, ///< release() returns the response. Further bytes in the buffer belong to no request.
        Malformed, ///< reason() tells why. The request may have run, and the connection can't be reused.
    };

    explicit HttpResponseReader(const HttpLimits&);

    /// Parses the bytes in the buffer, and consumes those that need not be seen again.
    State take(boost::beast::flat_buffer&);
    /// Frees the part of the body that has been parsed, and keeps nothing of what follows.
    void discardBody();
    /// Handles the orderly end of the connection, which ends a response that has no length.
    State takeEnd();
    /// Precondition: the last state was Done. Call once.
    HttpResponse release();
    /// Returns whether the connection may carry another request. Precondition: the last state was Done.
    bool keepAlive() const;
    /// Returns the memory that the response takes so far. What is reserved for a body and not written yet takes none.
    std::uint64_t heldBytes() const;
    /// Precondition: the last state was Malformed.
    const std::string& reason() const { return m_reason; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void startMessage();
    /// Parses until the message or the buffer ends. Returns false when the bytes are malformed.
    bool parse(boost::beast::flat_buffer&);
    /// Returns whether the parsed head may be that of a response. Precondition: the head is complete.
    bool checkHead();
    /// Sets the response's status and fields. Precondition: the head is complete, and nothing of the body has been parsed.
    void copyHead();
    /// Whether the body is coded in chunks alone, or not at all. Precondition: the head is complete.
    bool hasKnownCoding() const;
    /// Whether the parsed message is an interim response. Precondition: its head is complete.
    bool isInterim() const;
    State fail(std::string reason);

    HttpLimits m_limits;
    std::optional<Parser> m_parser;
    HttpResponse m_response; ///< Without its body until release().
    std::string m_reason;
    bool m_isBodyDiscarded = false;
    std::uint64_t m_headBytes = 0; ///< Of interim responses and the final one.
};

}
