#include "observe/log.h"

#include "observe/log_line_builder.h"

#include <boost/json.hpp>
#include <easylogging++.h>

namespace lycheefield {

namespace {

std::string recordOf(std::string_view event, const std::vector<LogField>& fields)
{
    boost::json::object record { { "event", boost::json::string_view(event.data(), event.size()) } };
    for (const auto& [name, value] : fields)
        record[boost::json::string_view(name.data(), name.size())] = value;
    return boost::json::serialize(record);
}

}

void setUpLogging(LogFormat format)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configuration);
    el::Loggers::getLogger(el::base::consts::kDefaultLoggerId)->setLogBuilder(std::make_shared<LogLineBuilder>(format));
}

void logChange(LogLevel level, std::string_view event, const std::vector<LogField>& fields)
{
    const auto record = recordOf(event, fields);
    switch (level) {
    case LogLevel::Info:
        LOG(INFO) << record;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << record;
        break;
    case LogLevel::Error:
        LOG(ERROR) << record;
        break;
    }
}

}
