#pragma once

#include "base/error.h"
#include "base/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace lycheefield {

/// A rule file as an operator edits it. The first line may be "# revision N", which names the accepted
/// revision that the file was made from and is not part of the rules.
struct RuleFile {
    std::optional<RuleRevision> base;
    std::string text; ///< Without the revision line.

    friend bool operator==(const RuleFile&, const RuleFile&) = default;
};

RuleFile parseRuleFile(std::string_view);
/// Returns the file's content: the revision line, if there is a base, and the rules.
std::string formatRuleFile(const RuleFile&);

Result<RuleFile> readRuleFile(const std::string& path);
/// Replaces the file atomically: a reader sees either the old content or the new.
Result<void> writeRuleFile(const std::string& path, const RuleFile&);

}
