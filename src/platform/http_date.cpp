#include "platform/http_date.h"

#include <array>
#include <ctime>
#include <iomanip>
#include <locale>
#include <sstream>

namespace lycheefield {

namespace {

constexpr const char* httpDateFormat = "%a, %d %b %Y %H:%M:%S";

}

std::optional<std::int64_t> parseHttpDate(std::string_view text)
{
    std::tm parts {};
    std::istringstream in { std::string(text) };
    in.imbue(std::locale::classic());
    std::string zone;
    in >> std::get_time(&parts, httpDateFormat) >> zone;
    if (in.fail() || zone != "GMT")
        return std::nullopt;
    return timegm(&parts);
}

std::string toHttpDate(std::int64_t secondsSinceEpoch)
{
    const std::time_t seconds = secondsSinceEpoch;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::ostringstream out;
    out.imbue(std::locale::classic());
    out << std::put_time(&parts, httpDateFormat) << " GMT";
    return out.str();
}

}
