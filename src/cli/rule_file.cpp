#include "cli/rule_file.h"

#include "base/quantity_text.h"

#include <cstdio>
#include <fstream>
#include <sstream>

namespace lycheefield {

namespace {

constexpr std::string_view revisionPrefix = "# revision ";

Error fileError(const std::string& what, const std::string& path)
{
    return Error { ErrorKind::NotFound, what + " " + path, "give the path of a rule file with read and write permission" };
}

}

RuleFile parseRuleFile(std::string_view content)
{
    RuleFile file;
    const auto end = content.find('\n');
    const auto first = content.substr(0, end);
    if (first.starts_with(revisionPrefix)) {
        if (const auto revision = parseWholeNumber(first.substr(revisionPrefix.size()))) {
            file.base = RuleRevision(*revision);
            content = end == std::string_view::npos ? std::string_view() : content.substr(end + 1);
        }
    }
    file.text = content;
    return file;
}

std::string formatRuleFile(const RuleFile& file)
{
    if (!file.base)
        return file.text;
    return std::string(revisionPrefix) + std::to_string(file.base->value()) + "\n" + file.text;
}

Result<RuleFile> readRuleFile(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    // On an empty file peek() sets only eof, which is no failure; a directory opens but can't be read.
    in.peek();
    if (!in.is_open() || in.bad())
        return fileError("can't read", path);
    std::ostringstream content;
    if (!in.eof() && !(content << in.rdbuf()))
        return fileError("can't read", path);
    return parseRuleFile(content.str());
}

Result<void> writeRuleFile(const std::string& path, const RuleFile& file)
{
    const std::string draft = path + ".tmp";
    std::ofstream out(draft, std::ios::binary);
    out << formatRuleFile(file);
    out.close();
    if (!out || std::rename(draft.c_str(), path.c_str()) != 0)
        return fileError("can't write", path);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}
