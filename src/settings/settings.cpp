#include "settings/settings.h"

#include "settings/setting_key.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <set>
#include <sstream>

namespace lycheefield {

namespace {

/// Feeds lines to the INI library, counts them and collects all errors.
class SettingsReader {
public:
    SettingsReader(std::string_view text, const std::string& file)
        : m_text(text)
        , m_file(file)
    {
    }

    ParsedSettings read()
    {
        ini_parse_stream(&SettingsReader::nextLine, this, &SettingsReader::handleKey, this);
        reportUnparsedLine();
        checkRequiredKeys();
        if (m_errors.empty())
            checkCombinations();
        if (!m_errors.empty())
            return m_errors;
        return m_settings;
    }

private:
    /// Callback that gives the INI library the next line. Leading blanks are removed, since the library
    /// would read an indented line as a continuation of the previous one.
    static char* nextLine(char* buf, int capacity, void* stream)
    {
        auto& self = *static_cast<SettingsReader*>(stream);
        self.reportUnparsedLine();
        if (self.m_text.empty())
            return nullptr;
        const auto line = self.takeLine();
        const auto size = std::min(line.size(), static_cast<std::size_t>(capacity) - 1);
        if (size < line.size())
            self.report("", "the line is longer than the parser reads", "at most " + std::to_string(capacity - 1) + " bytes");
        std::memcpy(buf, line.data(), size);
        buf[size] = '\0';
        return buf;
    }

    static int handleKey(void* user, const char* section, const char* name, const char* value)
    {
        constexpr int success = 1;
        static_cast<SettingsReader*>(user)->setKey(section, name, value);
        return success;
    }

    std::string_view takeLine()
    {
        const auto end = m_text.find('\n');
        auto line = m_text.substr(0, end);
        m_text = end == std::string_view::npos ? std::string_view() : m_text.substr(end + 1);
        line.remove_prefix(std::min(line.find_first_not_of(" \t\r\0"), line.size()));
        ++m_line;
        const bool isBlank = line.empty() || line.front() == '#' || line.front() == ';';
        m_expectsKey = !isBlank && !(line.front() == '[' && line.find(']') != std::string_view::npos);
        return line;
    }

    /// Reports the last line as an error if it should have set a key and the library found none in it.
    void reportUnparsedLine()
    {
        if (m_expectsKey)
            report("", "the line is neither [section] nor key = value", "[section], key = value, a comment after ';' or '#', or nothing");
        m_expectsKey = false;
    }

    void setKey(const std::string& section, const std::string& name, const std::string& value)
    {
        m_expectsKey = false;
        const auto fullName = section + "." + name;
        const auto* key = findSettingKey(section, name);
        if (!key)
            return report(fullName, "this key does not exist", "the keys that 'lycheefield settings' lists");
        if (!m_seen.insert(fullName).second)
            return report(fullName, "the key is set more than once", "one line for each key");
        const auto outcome = key->assign(m_settings, value);
        if (outcome == SettingOutcome::Refused)
            report(fullName, "'" + value + "' is not allowed", key->allowed());
        else if (outcome != SettingOutcome::Set)
            m_settings.adjusted.push_back(fullName);
    }

    void checkRequiredKeys()
    {
        m_line = 0;
        const bool isGateway = m_seen.contains("gateway.callers");
        for (const auto& it : settingKeys()) {
            const bool isReplaced = isGateway && it.section == "platform";
            if (it.required && !isReplaced && !m_seen.contains(it.fullName()))
                report(it.fullName(), "the key is missing", it.allowed());
        }
        for (const auto* name : { "store", "readiness" }) {
            const auto* key = findSettingKey("gateway", name);
            if (isGateway && !m_seen.contains(key->fullName()))
                report(key->fullName(), "the key is missing", key->allowed());
        }
    }

    /// Checks constraints between several settings.
    void checkCombinations()
    {
        const auto& membership = m_settings.membership;
        if (membership.probeTimeout >= membership.probePeriod)
            report("membership.probe_timeout", "the value is not below membership.probe_period", "a shorter time");
        if (m_settings.platform.backoffMinimum > m_settings.platform.backoffMaximum)
            report("platform.backoff_minimum", "the value is above platform.backoff_maximum", "a shorter time");
        if (m_settings.claims.initialBackoff > m_settings.claims.maxBackoff)
            report("claims.retry_first", "the value is above claims.retry_most", "a shorter time");
        if (m_settings.drain.balancerLag > m_settings.drain.limit)
            report("drain.balancer_lag", "the value is above drain.limit", "a shorter time");
        if (m_settings.listen.address == "0.0.0.0" && m_settings.listen.advertisedAddress.empty())
            report("listen.advertised_address", "the key is required when listen.address is 0.0.0.0", "the IPv4 address at which peers reach this instance");
    }

    void report(const std::string& key, std::string message, std::string allowed)
    {
        m_errors.push_back({ m_file, m_line, key, std::move(message), std::move(allowed) });
    }

    std::string_view m_text;
    const std::string& m_file;
    std::uint32_t m_line = 0;
    bool m_expectsKey = false;
    std::set<std::string> m_seen;
    std::vector<SettingError> m_errors;
    Settings m_settings;
};

}

std::ostream& operator<<(std::ostream& out, const SettingError& error)
{
    out << error.file << ':';
    if (error.line)
        out << error.line << ':';
    out << ' ';
    if (!error.key.empty())
        out << error.key << ": ";
    return out << error.message << "; allowed: " << error.allowed;
}

ParsedSettings parseSettings(std::string_view text, const std::string& file)
{
    return SettingsReader(text, file).read();
}

ParsedSettings loadSettings(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    if (in)
        text << in.rdbuf();
    if (!in)
        return std::vector<SettingError> { { path, 0, "", "the settings file can't be read", "the path of a readable settings file" } };
    return parseSettings(text.str(), path);
}

}
