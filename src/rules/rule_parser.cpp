#include "rules/rule_parser.h"

#include "base/quantity_text.h"
#include "rules/rule_delta.h"
#include "rules/rule_line.h"

#include <boost/spirit/home/x3.hpp>

#include <algorithm>
#include <optional>
#include <set>

namespace lycheefield {

namespace x3 = boost::spirit::x3;

namespace {

constexpr std::size_t maxPathBytes = 1024;
constexpr std::size_t maxNameBytes = 128;
constexpr Duration maxDeadline = std::chrono::minutes(10);

enum class Key {
    Name,
    Service,
    Kind,
    Priority,
    Deadline,
    Soft,
    Coverage,
    Prefer,
    Hedge,
    Retry,
};

template <typename T>
x3::symbols<T> symbolsOf(std::initializer_list<std::pair<const char*, T>> entries)
{
    x3::symbols<T> symbols;
    for (const auto& [name, value] : entries)
        symbols.add(name, value);
    return symbols;
}

const x3::symbols<Key>& keys()
{
    static const auto symbols = symbolsOf<Key>({ { "name", Key::Name }, { "service", Key::Service }, { "kind", Key::Kind },
        { "priority", Key::Priority }, { "deadline", Key::Deadline }, { "soft", Key::Soft }, { "coverage", Key::Coverage },
        { "prefer", Key::Prefer }, { "hedge", Key::Hedge }, { "retry", Key::Retry } });
    return symbols;
}

const x3::symbols<RequestKind>& kinds()
{
    static const auto symbols = symbolsOf<RequestKind>({ { "search", RequestKind::Search }, { "record", RequestKind::Record }, { "order", RequestKind::Order } });
    return symbols;
}

const x3::symbols<Priority>& priorities()
{
    static const auto symbols = symbolsOf<Priority>({ { "van", Priority::Van }, { "desk", Priority::Desk }, { "batch", Priority::Batch } });
    return symbols;
}

const x3::symbols<AnswerPreference>& preferences()
{
    static const auto symbols = symbolsOf<AnswerPreference>({ { "tail", AnswerPreference::Tail }, { "coverage", AnswerPreference::Coverage } });
    return symbols;
}

template <typename T>
std::optional<T> lookUp(std::string_view text, const x3::symbols<T>& symbols)
{
    T value {};
    if (!x3::parse(text.begin(), text.end(), symbols >> x3::eoi, value))
        return std::nullopt;
    return value;
}

/// Parses a name of letters, digits, '.', '_' and '-'.
std::optional<std::string> parseName(std::string_view text)
{
    const auto nameCharacter = x3::char_("A-Za-z0-9._-");
    if (text.size() > maxNameBytes || !x3::parse(text.begin(), text.end(), +nameCharacter >> x3::eoi))
        return std::nullopt;
    return std::string(text);
}

std::optional<std::string> parsePath(std::string_view text)
{
    const auto pathCharacter = x3::char_('!', '~');
    if (text.size() > maxPathBytes || !x3::parse(text.begin(), text.end(), '/' >> *pathCharacter >> x3::eoi))
        return std::nullopt;
    return std::string(text);
}

std::optional<Duration> parseDeadline(std::string_view text)
{
    const auto value = parseDuration(text);
    if (!value || *value <= Duration::zero() || *value > maxDeadline)
        return std::nullopt;
    return value;
}

/// Parses the words of one line into a rule and collects all errors.
class RuleLineReader {
public:
    RuleLineReader(const RuleLine& line, std::vector<RuleError>& errors)
        : m_line(line)
        , m_errors(errors)
    {
    }

    Rule read()
    {
        m_rule.line = m_line.number;
        m_rule.comment = m_line.comment;
        readMatch();
        for (std::size_t i = 2; i < m_line.words.size(); i += 2)
            readPair(m_line.words[i], i + 1 < m_line.words.size() ? &m_line.words[i + 1] : nullptr);
        requireKeys();
        if (m_rule.comment.empty())
            report(m_line.commentColumn, "the rule has no comment", "end the line with '# ' and a note on who asked for the rule and why");
        if (m_rule.name.empty())
            m_rule.name = m_rule.pathPrefix;
        return m_rule;
    }

private:
    void report(std::uint32_t column, std::string message, std::string remedy)
    {
        m_errors.push_back({ m_line.number, column, std::move(message), std::move(remedy) });
    }

    void readMatch()
    {
        const auto& first = m_line.words.front();
        if (first.text != "match") {
            report(first.column, "a rule starts with 'match', not '" + std::string(first.text) + "'", "write 'match /PATH service NAME deadline TIME …'");
            return;
        }
        if (m_line.words.size() < 2) {
            report(m_line.commentColumn, "'match' has no path", "write the path prefix of the rule after 'match', such as /search/quotes");
            return;
        }
        const auto& path = m_line.words[1];
        if (const auto value = parsePath(path.text))
            m_rule.pathPrefix = *value;
        else
            report(path.column, "'" + std::string(path.text) + "' is not a path", "start the path with '/', and use printable ASCII and at most 1024 bytes");
    }

    void readPair(const RuleWord& key, const RuleWord* value)
    {
        const auto known = lookUp(key.text, keys());
        if (!known) {
            report(key.column, "unknown key '" + std::string(key.text) + "'",
                "use name, service, kind, priority, deadline, soft, coverage, prefer, hedge or retry");
            return;
        }
        if (!m_seen.insert(*known).second) {
            report(key.column, "'" + std::string(key.text) + "' is given twice", "keep only one of them");
            return;
        }
        if (!value) {
            report(key.column, "'" + std::string(key.text) + "' has no value", "write the value after the key");
            return;
        }
        readValue(*known, *value);
    }

    void readValue(Key key, const RuleWord& word)
    {
        switch (key) {
        case Key::Name:
            return store(m_rule.name, parseName(word.text), word, "use letters, digits, '.', '_' and '-', at most 128");
        case Key::Service:
            return storeService(word);
        case Key::Kind:
            return store(m_rule.kind, lookUp(word.text, kinds()), word, "use search, record or order");
        case Key::Priority:
            return store(m_rule.priority, lookUp(word.text, priorities()), word, "use van, desk or batch");
        case Key::Deadline:
            return store(m_rule.deadline, parseDeadline(word.text), word, "write a time above 0 and up to 10m, such as 80ms");
        case Key::Soft:
            return store(m_rule.softDeadline, parseDeadline(word.text), word, "write a time above 0 and up to 10m, such as 60ms");
        case Key::Coverage:
            return store(m_rule.minCoverage, parseShare(word.text), word, "write a share from 0% to 100%, such as 95%");
        case Key::Prefer:
            return store(m_rule.preference, lookUp(word.text, preferences()), word, "use tail or coverage");
        case Key::Hedge:
            return store(m_rule.hedgeBudget, parseShare(word.text), word, "write a share from 0% to 100%, such as 5%");
        case Key::Retry:
            return store(m_rule.retryBudget, parseShare(word.text), word, "write a share from 0% to 100%, such as 10%");
        }
    }

    template <typename T>
    void store(T& field, const std::optional<T>& value, const RuleWord& word, const char* remedy)
    {
        if (value)
            field = *value;
        else
            report(word.column, "'" + std::string(word.text) + "' is not a valid value", remedy);
    }

    void storeService(const RuleWord& word)
    {
        std::string name;
        store(name, parseName(word.text), word, "use letters, digits, '.', '_' and '-', at most 128");
        m_rule.service = ServiceName(name);
    }

    void requireKeys()
    {
        if (m_line.words.front().text != "match")
            return;
        if (!m_seen.contains(Key::Service))
            report(m_line.commentColumn, "the rule has no service", "add 'service NAME'");
        if (!m_seen.contains(Key::Deadline))
            report(m_line.commentColumn, "the rule has no deadline", "add 'deadline TIME', such as 'deadline 80ms'");
    }

    const RuleLine& m_line;
    std::vector<RuleError>& m_errors;
    std::set<Key> m_seen;
    Rule m_rule;
};

}

ParsedRules parseRules(std::string_view text, RuleRevision revision)
{
    if (text.size() > maxRuleFileBytes)
        return std::vector<RuleError> { { 1, 1, "the rule file is larger than 512 KiB", "remove rules that are no longer needed" } };
    std::vector<Rule> rules;
    std::vector<RuleError> errors;
    for (const auto& line : splitRuleLines(text))
        rules.push_back(RuleLineReader(line, errors).read());
    if (!errors.empty())
        return errors;
    return RuleTable(revision, std::move(rules), std::string(text));
}

}
