#include "settings/setting_key.h"

#include "base/endpoint_text.h"
#include "base/quantity_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <type_traits>
#include <utility>

namespace lycheefield {

namespace {

constexpr std::size_t maxNameBytes = 128;

template <typename T>
using Choices = std::array<std::pair<const char*, T>, 2>;

constexpr Choices<bool> switchChoices { { { "on", true }, { "off", false } } };
constexpr Choices<Routing> routingChoices { { { "relay", Routing::Relay }, { "direct", Routing::Direct } } };
constexpr Choices<LogFormat> logFormatChoices { { { "text", LogFormat::Text }, { "json", LogFormat::Json } } };

template <typename T>
std::optional<T> parseChoice(std::string_view text, const Choices<T>& choices)
{
    for (const auto& [name, value] : choices) {
        if (text == name)
            return value;
    }
    return std::nullopt;
}

template <typename T>
std::string formatChoice(T value, const Choices<T>& choices)
{
    return choices[0].second == value ? choices[0].first : choices[1].first;
}

bool isName(std::string_view text)
{
    // Compared as unsigned, as char is signed on some machines and bytes of UTF-8 are above 127.
    const auto allowed = [](char c) {
        constexpr unsigned char blank = 0x20;
        constexpr unsigned char del = 0x7f;
        const auto byte = static_cast<unsigned char>(c);
        return byte > blank && byte != del && std::string_view("\"'\\/").find(c) == std::string_view::npos;
    };
    return !text.empty() && text.size() <= maxNameBytes && std::all_of(text.begin(), text.end(), allowed);
}

/// Name, unit, parser and formatter of one type of value.
template <typename T>
struct ValueType;

template <typename T>
struct WholeNumberType {
    static constexpr auto name = "whole number";
    static constexpr auto unit = "-";
    static constexpr auto choices = "";
    static std::string format(T value) { return std::to_string(value); }
    static std::optional<T> parse(std::string_view text)
    {
        const auto value = parseWholeNumber(text);
        if (!value || *value > std::numeric_limits<T>::max())
            return std::nullopt;
        return static_cast<T>(*value);
    }
};

template <>
struct ValueType<std::uint16_t> : WholeNumberType<std::uint16_t> {
};

template <>
struct ValueType<std::uint32_t> : WholeNumberType<std::uint32_t> {
};

template <>
struct ValueType<double> {
    static constexpr auto name = "number";
    static constexpr auto unit = "-";
    static constexpr auto choices = "";
    static std::string format(double value) { return formatNumber(value); }
    static std::optional<double> parse(std::string_view text) { return parseNumber(text); }
};

template <>
struct ValueType<Duration> {
    static constexpr auto name = "duration";
    static constexpr auto unit = "us, ms, s, m or h";
    static constexpr auto choices = "";
    static std::string format(Duration value) { return formatDuration(value); }
    static std::optional<Duration> parse(std::string_view text) { return parseDecimalDuration(text); }
};

template <>
struct ValueType<Share> {
    static constexpr auto name = "share";
    static constexpr auto unit = "%";
    static constexpr auto choices = "";
    static std::string format(Share value) { return formatShare(value); }
    static std::optional<Share> parse(std::string_view text) { return parseShare(text); }
};

template <>
struct ValueType<ByteCount> {
    static constexpr auto name = "size";
    static constexpr auto unit = "B, KiB or MiB";
    static constexpr auto choices = "";
    static std::string format(ByteCount value) { return formatByteCount(value); }
    static std::optional<ByteCount> parse(std::string_view text) { return parseByteCount(text); }
};

template <>
struct ValueType<bool> {
    static constexpr auto name = "switch";
    static constexpr auto unit = "-";
    static constexpr auto choices = "on or off";
    static std::string format(bool value) { return formatChoice(value, switchChoices); }
    static std::optional<bool> parse(std::string_view text) { return parseChoice(text, switchChoices); }
};

template <>
struct ValueType<Routing> {
    static constexpr auto name = "choice";
    static constexpr auto unit = "-";
    static constexpr auto choices = "relay or direct";
    static std::string format(Routing value) { return formatChoice(value, routingChoices); }
    static std::optional<Routing> parse(std::string_view text) { return parseChoice(text, routingChoices); }
};

template <>
struct ValueType<LogFormat> {
    static constexpr auto name = "choice";
    static constexpr auto unit = "-";
    static constexpr auto choices = "text or json";
    static std::string format(LogFormat value) { return formatChoice(value, logFormatChoices); }
    static std::optional<LogFormat> parse(std::string_view text) { return parseChoice(text, logFormatChoices); }
};

/// All settings of type std::string are IP addresses.
template <>
struct ValueType<std::string> {
    static constexpr auto name = "text";
    static constexpr auto unit = "-";
    static constexpr auto choices = "an IPv4 number, such as 10.0.3.7";
    static std::string format(const std::string& value) { return value; }
    static std::optional<std::string> parse(std::string_view text)
    {
        if (!isIpv4Address(text))
            return std::nullopt;
        return std::string(text);
    }
};

template <>
struct ValueType<Endpoint> {
    static constexpr auto name = "endpoint";
    static constexpr auto unit = "-";
    static constexpr auto choices = "an IPv4 number and a port, such as 10.0.3.7:8080";
    static std::string format(const Endpoint& value) { return value.port == 0 ? "" : value.toString(); }
    static std::optional<Endpoint> parse(std::string_view text)
    {
        const auto endpoint = parseEndpoint(text);
        return endpoint ? std::optional(endpoint.value()) : std::nullopt;
    }
};

template <typename T>
struct NameType {
    static constexpr auto name = "text";
    static constexpr auto unit = "-";
    static constexpr auto choices = "UTF-8 without blanks, quotes, slashes and backslashes, at most 128 bytes";
    static std::string format(const T& value) { return value.value(); }
    static std::optional<T> parse(std::string_view text)
    {
        if (!isName(text))
            return std::nullopt;
        return T(std::string(text));
    }
};

template <>
struct ValueType<InstanceName> : NameType<InstanceName> {
};

template <>
struct ValueType<ZoneName> : NameType<ZoneName> {
};

template <typename T>
bool inRange(const T& value, const SettingRange& range)
{
    if (range.min.empty())
        return true;
    return value >= *ValueType<T>::parse(range.min) && value <= *ValueType<T>::parse(range.max);
}

bool hasDigit(std::string_view text)
{
    return text.find_first_of("0123456789") != std::string_view::npos;
}

/// Returns whether the text holds a placeholder that the platform has not filled in, because it doesn't know the name.
bool hasPlaceholder(std::string_view text)
{
    return text.find("{{") != std::string_view::npos;
}

/// Returns whether the text is empty or one of the type's units alone.
template <typename T>
bool isUnitOf(std::string_view text)
{
    return text.empty() || ValueType<T>::parse("1" + std::string(text)).has_value();
}

/// Calls the visitor with a pointer to the key's member in `settings`.
template <typename Visitor>
auto visitField(const SettingKey& key, Settings& settings, Visitor visitor)
{
    return std::visit([&](auto* member) { return visitor(member); }, key.field(settings));
}

using SettingRow = std::array<std::string, 6>;

/// Formats rows as a table whose columns are as wide as their longest text plus a gap; the last column is not
/// padded.
std::string formatTable(const std::vector<SettingRow>& rows)
{
    constexpr std::size_t gap = 2;
    std::array<std::size_t, std::tuple_size_v<SettingRow>> widths {};
    for (const auto& row : rows) {
        for (std::size_t i = 0; i + 1 < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size() + gap);
    }
    std::string out;
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            out.append(row[i]).append(widths[i] ? widths[i] - row[i].size() : 0, ' ');
        out += '\n';
    }
    return out;
}

}

std::string SettingKey::type() const
{
    Settings defaults;
    return visitField(*this, defaults, [](auto* member) { return std::string(ValueType<std::remove_pointer_t<decltype(member)>>::name); });
}

std::string SettingKey::unit() const
{
    Settings defaults;
    return visitField(*this, defaults, [](auto* member) { return std::string(ValueType<std::remove_pointer_t<decltype(member)>>::unit); });
}

std::string SettingKey::allowed() const
{
    Settings defaults;
    const auto choices = visitField(*this, defaults, [](auto* member) { return std::string(ValueType<std::remove_pointer_t<decltype(member)>>::choices); });
    if (range.min.empty())
        return choices;
    return type() + " from " + range.min + " to " + range.max;
}

std::string SettingKey::defaultText() const
{
    if (required)
        return "required";
    Settings defaults;
    return visitField(*this, defaults, [](auto* member) { return ValueType<std::remove_pointer_t<decltype(member)>>::format(*member); });
}

SettingOutcome SettingKey::assign(Settings& settings, std::string_view text) const
{
    return visitField(*this, settings, [&](auto* member) {
        using T = std::remove_pointer_t<decltype(member)>;
        if (isFigure && hasPlaceholder(text))
            return SettingOutcome::Unset;
        if (isFigure && !hasDigit(text))
            return isUnitOf<T>(text) ? SettingOutcome::Unset : SettingOutcome::Refused;
        const auto value = ValueType<T>::parse(text);
        if (value && inRange(*value, range)) {
            *member = *value;
            return SettingOutcome::Set;
        }
        if (!value || !isFigure)
            return SettingOutcome::Refused;
        const bool isBelow = *value < *ValueType<T>::parse(range.min);
        *member = *ValueType<T>::parse(isBelow ? range.min : range.max);
        return SettingOutcome::Clamped;
    });
}

std::string describeSettings()
{
    std::vector<SettingRow> rows { { "KEY", "TYPE", "UNIT", "DEFAULT", "ALLOWED", "PURPOSE" } };
    for (const auto& it : settingKeys())
        rows.push_back({ it.fullName(), std::string(it.type()), std::string(it.unit()), it.defaultText(), it.allowed(), std::string(it.doc) });
    return formatTable(rows);
}

}
