#include "http/http_message.h"

#include <boost/beast/core/string.hpp>

namespace lycheefield {

std::string_view HttpHeaders::find(std::string_view name) const
{
    for (const auto& [field, value] : m_fields) {
        if (boost::beast::iequals(field, name))
            return value;
    }
    return {};
}

}
