#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheefield {

/// Header fields in the order in which they were added. Names are case-insensitive.
class HttpHeaders {
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<std::pair<std::string, std::string>> fields)
        : m_fields(fields)
    {
    }

    void add(std::string name, std::string value) { m_fields.emplace_back(std::move(name), std::move(value)); }
    /// Returns the first value of that name; empty when the name is absent.
    std::string_view find(std::string_view name) const;
    /// Removes all fields of that name.
    void remove(std::string_view name);
    /// Returns the number of fields of that name.
    std::size_t count(std::string_view name) const;
    const std::vector<std::pair<std::string, std::string>>& fields() const { return m_fields; }

    friend bool operator==(const HttpHeaders&, const HttpHeaders&) = default;

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

struct HttpRequest {
    std::string method;
    std::string target; ///< Path and query as sent.
    HttpHeaders headers;
    std::string body;

    /// Returns the target without its query.
    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }

    friend bool operator==(const HttpRequest&, const HttpRequest&) = default;
};

struct HttpResponse {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    HttpHeaders headers {};

    friend bool operator==(const HttpResponse&, const HttpResponse&) = default;
};

}
