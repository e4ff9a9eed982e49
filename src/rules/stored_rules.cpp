#include "rules/stored_rules.h"

#include <boost/json.hpp>

namespace lycheefield {

namespace {

namespace json = boost::json;

Error malformed(const std::string& what)
{
    return Error { ErrorKind::InvalidInput, "the stored rules are malformed: " + what, "apply a valid rule file again" };
}

std::string textOf(const json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    if (!value || !value->is_string())
        return {};
    return std::string(value->get_string());
}

}

std::string ruleHistoryKey(RuleRevision revision)
{
    return ruleHistoryPrefix + std::to_string(revision.value());
}

Result<StoredRules> parseStoredRules(std::string_view text)
{
    json::error_code ec;
    const auto value = json::parse(text, ec);
    if (ec || !value.is_object())
        return malformed("not a JSON object");
    const auto& object = value.get_object();
    const auto* revision = object.if_contains("revision");
    if (!revision || !revision->is_int64() || revision->get_int64() <= 0)
        return malformed("'revision' is not a number above 0");
    if (!object.contains("text") || !object.at("text").is_string())
        return malformed("'text' is not a string");
    StoredRules rules;
    rules.revision = RuleRevision(static_cast<std::uint64_t>(revision->get_int64()));
    rules.applyId = ApplyId(textOf(object, "applyId"));
    rules.who = textOf(object, "who");
    rules.when = textOf(object, "when");
    rules.text = textOf(object, "text");
    return rules;
}

std::string formatStoredRules(const StoredRules& rules)
{
    return json::serialize(json::object { { "revision", rules.revision.value() }, { "applyId", rules.applyId.value() },
        { "who", rules.who }, { "when", rules.when }, { "text", rules.text } });
}

}
