#include "base/quantity_text.h"

#include <boost/spirit/home/x3.hpp>
#include <charconv>

#include <array>
#include <cmath>
#include <cstdio>
#include <limits>

namespace lycheefield {

namespace x3 = boost::spirit::x3;

namespace {

/// Enough digits for every realistic quantity. parseScaled checks the product with the unit for overflow.
constexpr unsigned maxDigits = 12;
using Digits = x3::uint_parser<std::uint64_t, 10, 1, maxDigits>;

struct Unit {
    const char* name;
    std::uint64_t factor;
};

constexpr std::array<Unit, 5> durationUnits { { { "us", 1 }, { "ms", 1'000 }, { "s", 1'000'000 }, { "m", 60'000'000 }, { "h", 3'600'000'000 } } };
constexpr std::array<Unit, 3> byteUnits { { { "B", 1 }, { "KiB", 1024 }, { "MiB", 1024 * 1024 } } };

template <std::size_t N>
x3::symbols<std::uint64_t> symbolsOf(const std::array<Unit, N>& units)
{
    x3::symbols<std::uint64_t> symbols;
    for (const auto& it : units)
        symbols.add(it.name, it.factor);
    return symbols;
}

template <std::size_t N>
std::optional<std::uint64_t> parseScaled(std::string_view text, const std::array<Unit, N>& units)
{
    std::uint64_t number = 0;
    std::uint64_t factor = 0;
    const auto setNumber = [&](const auto& context) { number = x3::_attr(context); };
    const auto setFactor = [&](const auto& context) { factor = x3::_attr(context); };
    const auto grammar = Digits()[setNumber] >> symbolsOf(units)[setFactor] >> x3::eoi;
    if (!x3::parse(text.begin(), text.end(), grammar))
        return std::nullopt;
    if (number > std::uint64_t(std::numeric_limits<std::int64_t>::max()) / factor)
        return std::nullopt;
    return number * factor;
}

/// Formats the value in the largest unit of which the value is a multiple.
template <std::size_t N>
std::string formatScaled(std::uint64_t value, const std::array<Unit, N>& units)
{
    const auto* best = &units.front();
    for (const auto& it : units) {
        if (value && value % it.factor == 0)
            best = &it;
    }
    return std::to_string(value / best->factor) + best->name;
}

constexpr int shareDecimalPlaces = 6;
constexpr double shareDecimalScale = 1e6;

}

std::optional<Duration> parseDuration(std::string_view text)
{
    const auto value = parseScaled(text, durationUnits);
    if (!value)
        return std::nullopt;
    return Duration(static_cast<Duration::rep>(*value));
}

std::optional<Duration> parseDecimalDuration(std::string_view text)
{
    if (const auto whole = parseDuration(text))
        return whole;
    const auto unitAt = text.find_last_of("0123456789.") + 1;
    const auto number = parseNumber(text.substr(0, unitAt));
    const auto unit = parseScaled("1" + std::string(text.substr(unitAt)), durationUnits);
    if (!number || !unit)
        return std::nullopt;
    const auto micros = *number * static_cast<double>(*unit);
    if (micros >= static_cast<double>(Duration::max().count()))
        return std::nullopt;
    return Duration(std::llround(micros));
}

std::string formatDuration(Duration duration)
{
    return formatScaled(static_cast<std::uint64_t>(duration.count()), durationUnits);
}

std::string formatMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

namespace {

/// Parses a share in fraction notation, such as "0.25".
std::optional<Share> parseFraction(std::string_view text)
{
    const auto value = parseNumber(text);
    if (!value || *value > 1)
        return std::nullopt;
    return Share { *value };
}

}

std::optional<Share> parseShare(std::string_view text)
{
    if (!text.ends_with('%'))
        return parseFraction(text);
    std::uint64_t whole = 0;
    std::string places;
    const auto setWhole = [&](const auto& context) { whole = x3::_attr(context); };
    const auto addPlace = [&](const auto& context) { places += x3::_attr(context); };
    const auto fraction = x3::lit('.') >> x3::repeat(1, shareDecimalPlaces)[x3::char_('0', '9')[addPlace]];
    const auto grammar = Digits()[setWhole] >> -fraction >> '%' >> x3::eoi;
    if (!x3::parse(text.begin(), text.end(), grammar))
        return std::nullopt;
    places.resize(shareDecimalPlaces, '0');
    const auto percents = static_cast<double>(whole) + std::stod(places) / shareDecimalScale;
    if (percents > 100)
        return std::nullopt;
    return percent(percents);
}

std::string formatShare(Share share)
{
    char buf[64];
    std::snprintf(buf, sizeof(buf), "%.*f", shareDecimalPlaces, share.value * 100);
    std::string text = buf;
    text.erase(text.find_last_not_of('0') + 1);
    if (text.ends_with('.'))
        text.pop_back();
    return text + "%";
}

std::optional<ByteCount> parseByteCount(std::string_view text)
{
    const auto value = parseScaled(text, byteUnits);
    if (!value)
        return std::nullopt;
    return ByteCount { *value };
}

std::string formatByteCount(ByteCount bytes)
{
    return formatScaled(bytes.value, byteUnits);
}

std::optional<double> parseNumber(std::string_view text)
{
    double value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isNumber = ec == std::errc() && end == text.data() + text.size();
    if (!isNumber || !std::isfinite(value) || std::signbit(value))
        return std::nullopt;
    return value;
}

std::string formatNumber(double value)
{
    std::array<char, 32> buf {};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    return { buf.data(), end };
}

std::optional<std::uint64_t> parseWholeNumber(std::string_view text)
{
    std::uint64_t value = 0;
    if (!x3::parse(text.begin(), text.end(), Digits() >> x3::eoi, value))
        return std::nullopt;
    return value;
}

}
