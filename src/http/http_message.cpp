#include "http/http_message.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace lycheefield {

std::string_view HttpHeaders::find(std::string_view name) const
{
    for (const auto& [field, value] : m_fields) {
        if (boost::beast::iequals(field, name))
            return value;
    }
    return {};
}

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(m_fields, [&](const auto& field) { return boost::beast::iequals(field.first, name); });
}

std::size_t HttpHeaders::count(std::string_view name) const
{
    const auto n = std::count_if(m_fields.begin(), m_fields.end(), [&](const auto& field) { return boost::beast::iequals(field.first, name); });
    return static_cast<std::size_t>(n);
}

}
