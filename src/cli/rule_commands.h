#pragma once

#include "cli/operator_access.h"
#include "cli/report.h"
#include "rules/rule_writer.h"

#include <optional>
#include <string>

namespace lycheefield {

/// Options of `lycheefield apply`.
struct ApplyOptions {
    std::string file;
    std::optional<std::uint64_t> base; ///< Takes precedence over the file's revision line.
    std::string who;
    std::string when; ///< Wall-clock time, for people only.
    std::string applyId; ///< Unique to this run.
    Duration wait {}; ///< For the rules to be in force everywhere.
};

/// Checks a rule file: its grammar, its sense and, when the platform is at hand, its services.
ExitCode checkRuleFile(const std::string& path, OperatorAccess*, Report&);
/// Shows how a rule file differs from the rules accepted last.
ExitCode diffRuleFile(const std::string& path, OperatorAccess&, Report&);
/// Has a rule file accepted, and waits until it is in force on every instance.
ExitCode applyRuleFile(const ApplyOptions&, OperatorAccess&, Report&);
/// Lists all accepted revisions, or prints the text of one.
ExitCode showHistory(const std::optional<std::uint64_t>& revision, OperatorAccess&, Report&);

}
