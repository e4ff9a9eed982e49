#include "rules/rule_line.h"

#include <boost/spirit/home/x3.hpp>

namespace lycheefield {

namespace x3 = boost::spirit::x3;

namespace {

constexpr auto blanks = " \t\r";

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

RuleLine splitLine(std::string_view line, std::uint32_t number)
{
    RuleLine result;
    result.number = number;
    const auto columnOf = [&](auto position) { return static_cast<std::uint32_t>(position - line.begin()) + 1; };
    const auto textOf = [&](const auto& range) { return line.substr(range.begin() - line.begin(), range.size()); };
    const auto addWord = [&](const auto& context) {
        const auto& range = x3::_attr(context);
        result.words.push_back({ columnOf(range.begin()), textOf(range) });
    };
    const auto setComment = [&](const auto& context) {
        const auto& range = x3::_attr(context);
        result.commentColumn = columnOf(range.begin());
        result.comment = trimmed(textOf(range).substr(1));
    };
    const auto blank = x3::char_(" \t\r");
    const auto word = x3::raw[+(x3::char_ - x3::char_(" \t\r#"))];
    const auto comment = x3::raw['#' >> *x3::char_];
    const auto grammar = *blank >> *(word[addWord] >> *blank) >> -comment[setComment] >> x3::eoi;
    x3::parse(line.begin(), line.end(), grammar);
    if (!result.commentColumn)
        result.commentColumn = static_cast<std::uint32_t>(line.size()) + 1;
    return result;
}

}

std::vector<RuleLine> splitRuleLines(std::string_view text)
{
    std::vector<RuleLine> lines;
    std::uint32_t number = 0;
    while (!text.empty()) {
        const auto end = text.find('\n');
        auto line = splitLine(text.substr(0, end), ++number);
        if (!line.words.empty())
            lines.push_back(std::move(line));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return lines;
}

}
