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
    std::optional<std::uint64_t> base; ///< Revision that the file was made from; overrides the file's revision line.
    std::string who;
    std::string when; ///< Wall-clock time, for people only.
    std::string applyId; ///< Unique for each run.
    Duration wait {}; ///< Longest wait for the rules to be in force on every instance.
};

/// Checks a rule file: its syntax, its semantics and, given an OperatorAccess, its services.
ExitCode checkRuleFile(const std::string& path, OperatorAccess*, Report&);
/// Prints the difference between the rules accepted last and a rule file.
ExitCode diffRuleFile(const std::string& path, OperatorAccess&, Report&);
/// Submits a rule file and, once accepted, waits until its rules are in force on every instance.
ExitCode applyRuleFile(const ApplyOptions&, OperatorAccess&, Report&);
/// Lists all accepted revisions, or prints the text of one revision.
ExitCode showHistory(const std::optional<std::uint64_t>& revision, OperatorAccess&, Report&);

}
