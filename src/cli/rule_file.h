#pragma once

#include "base/error.h"
#include "base/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace lycheefield {

/// A rule file as an operator edits it. Its first line may be "# revision N": the accepted revision
/// that the file was made from. That line is not part of the rules.
struct RuleFile {
    std::optional<RuleRevision> base;
    std::string text; ///< Without the revision line.

    friend bool operator==(const RuleFile&, const RuleFile&) = default;
};

RuleFile parseRuleFile(std::string_view);
/// The whole content: the revision line, when there is a base, and the rules.
std::string formatRuleFile(const RuleFile&);

Result<RuleFile> readRuleFile(const std::string& path);
/// Replaces the file as a whole: a reader sees the old content or the new.
Result<void> writeRuleFile(const std::string& path, const RuleFile&);

}
