#include "observe/log.h"

#include <boost/json.hpp>
#include <easylogging++.h>

#include <atomic>
#include <chrono>

namespace lycheefield {

namespace {

std::atomic<LogFormat> currentFormat { LogFormat::Text };

std::string_view nameOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

std::string asText(std::string_view event, const std::vector<LogField>& fields)
{
    std::string line(event);
    for (const auto& [name, value] : fields) {
        line += ' ';
        line += name;
        line += '=';
        line += value;
    }
    return line;
}

std::string asJson(LogLevel level, std::string_view event, const std::vector<LogField>& fields)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    boost::json::object line {
        { "time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count() },
        { "level", boost::json::string_view(nameOf(level).data(), nameOf(level).size()) },
        { "event", boost::json::string_view(event.data(), event.size()) },
    };
    for (const auto& [name, value] : fields)
        line[boost::json::string_view(name.data(), name.size())] = value;
    return boost::json::serialize(line);
}

const char* patternOf(LogFormat format)
{
    return format == LogFormat::Json ? "%msg" : "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg";
}

}

void setUpLogging(LogFormat format)
{
    currentFormat = format;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, patternOf(format));
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configuration);
}

void logChange(LogLevel level, std::string_view event, const std::vector<LogField>& fields)
{
    const auto line = currentFormat == LogFormat::Json ? asJson(level, event, fields) : asText(event, fields);
    switch (level) {
    case LogLevel::Info:
        LOG(INFO) << line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << line;
        break;
    }
}

}
