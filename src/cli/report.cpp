#include "cli/report.h"

#include <boost/json.hpp>

#include <sstream>

namespace lycheefield {

namespace {

boost::json::string toJson(std::string_view text)
{
    return boost::json::string(text.data(), text.size());
}

}

Report::Report(std::ostream& out, std::ostream& err, bool isJson)
    : m_out(out)
    , m_err(err)
    , m_isJson(isJson)
{
}

void Report::line(std::string_view text)
{
    if (m_isJson)
        m_out << boost::json::serialize(boost::json::object { { "line", toJson(text) } }) << '\n';
    else
        m_out << text << '\n';
}

void Report::text(std::string_view text)
{
    if (!m_isJson) {
        m_out << text;
        return;
    }
    std::istringstream lines { std::string(text) };
    for (std::string it; std::getline(lines, it);)
        line(it);
}

void Report::error(const Error& error)
{
    if (!m_isJson) {
        m_err << "error: " << error << '\n';
        return;
    }
    const auto kind = toString(error.kind);
    m_err << boost::json::serialize(boost::json::object { { "error", { { "kind", toJson(kind) }, { "message", error.message }, { "remedy", error.remedy } } } }) << '\n';
}

void Report::inputError(std::string_view text)
{
    if (m_isJson)
        m_err << boost::json::serialize(boost::json::object { { "error", { { "kind", "invalid-input" }, { "message", toJson(text) } } } }) << '\n';
    else
        m_err << text << '\n';
}

void reportSettingErrors(const std::vector<SettingError>& errors, Report& report)
{
    for (const auto& it : errors) {
        std::ostringstream line;
        line << it;
        report.inputError(line.str());
    }
}

}
