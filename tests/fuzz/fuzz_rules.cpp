// Parses arbitrary text as a rule file. Parsing must yield a table or errors, each with a line that lies
// within the text, a message and a remedy.

#include "rules/rule_parser.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>

using namespace lycheefield;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const auto parsed = parseRules(text, RuleRevision(1));
    const auto* errors = std::get_if<std::vector<RuleError>>(&parsed);
    if (!errors)
        return 0;
    const auto lines = static_cast<std::uint32_t>(std::count(text.begin(), text.end(), '\n')) + 1;
    for (const auto& it : *errors) {
        if (it.line > lines || it.message.empty() || it.remedy.empty())
            std::abort();
    }
    return 0;
}
