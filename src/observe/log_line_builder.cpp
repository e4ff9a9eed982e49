#include "observe/log_line_builder.h"

#include <boost/json.hpp>

#include <array>
#include <cstdint>
#include <ctime>
#include <string_view>

namespace lycheefield {

namespace json = boost::json;

namespace {

std::int64_t millisSinceEpoch()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

std::string_view nameOf(el::Level level)
{
    if (level == el::Level::Info)
        return "info";
    return level == el::Level::Warning ? "warning" : "error";
}

/// Quotes a value that has blanks, quotes, equals signs or line breaks, so that each record is one parseable line.
std::string asText(const json::value& value)
{
    const auto text = value.is_string() ? json::value_to<std::string>(value) : json::serialize(value);
    const bool isPlain = !text.empty() && text.find_first_of(" \t\r\n\"=") == std::string::npos;
    return isPlain ? text : json::serialize(json::string(text));
}

std::string timeText(std::int64_t millis)
{
    constexpr std::int64_t millisPerSecond = 1000;
    const auto seconds = static_cast<std::time_t>(millis / millisPerSecond);
    std::tm local {};
    localtime_r(&seconds, &local);
    std::array<char, 32> date {};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &local);
    auto fraction = std::to_string(millisPerSecond + millis % millisPerSecond);
    fraction.front() = '.';
    return date.data() + fraction;
}

std::string textLine(std::string_view level, const json::object& record)
{
    auto line = timeText(millisSinceEpoch()) + " " + std::string(level);
    for (const auto& it : record) {
        const std::string name(it.key());
        line += name == "event" ? " " + json::value_to<std::string>(it.value()) : " " + name + "=" + asText(it.value());
    }
    return line;
}

std::string jsonLine(std::string_view level, const json::object& record)
{
    json::object line { { "time_ms", millisSinceEpoch() }, { "level", json::string_view(level.data(), level.size()) } };
    for (const auto& it : record)
        line[it.key()] = it.value();
    return json::serialize(line);
}

/// Parses a message of logChange. Any other message, such as a warning of easylogging++, becomes the event unchanged.
json::object recordOf(const std::string& message)
{
    json::error_code ec;
    const auto record = json::parse(message, ec);
    if (!ec && record.is_object())
        return record.as_object();
    return { { "event", message } };
}

}

LogLineBuilder::LogLineBuilder(LogFormat format)
    : m_format(format)
{
}

std::string LogLineBuilder::build(const el::LogMessage* message, bool appendNewLine) const
{
    const auto record = recordOf(message->message());
    const auto level = nameOf(message->level());
    auto line = m_format == LogFormat::Json ? jsonLine(level, record) : textLine(level, record);
    if (appendNewLine)
        line += '\n';
    return line;
}

}
