#include "standin/http_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace lycheefield::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;

std::optional<HttpResponse> httpCall(const Endpoint& endpoint, const std::string& method, const std::string& target, const std::string& body, const std::map<std::string, std::string>& headers)
{
    try {
        asio::io_context io;
        boost::beast::tcp_stream stream(io);
        stream.connect(asio::ip::tcp::endpoint(asio::ip::make_address(endpoint.address), endpoint.port));
        http::request<http::string_body> request(http::string_to_verb(method), target, 11);
        request.set(http::field::host, endpoint.toString());
        for (const auto& [name, value] : headers)
            request.set(name, value);
        request.body() = body;
        request.prepare_payload();
        request.keep_alive(false);
        http::write(stream, request);
        boost::beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(std::uint64_t(64) << 20);
        http::read(stream, buffer, parser);
        HttpResponse response { parser.get().result_int(), parser.get().body(), {} };
        for (const auto& it : parser.get())
            response.headers.emplace(it.name_string(), it.value());
        return response;
    } catch (const boost::system::system_error&) {
        return std::nullopt;
    }
}

}
