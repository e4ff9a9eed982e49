#include "cli/rule_commands.h"

#include "catalog/catalog_json.h"
#include "cli/fleet_status.h"
#include "cli/rule_file.h"
#include "rules/rule_check.h"
#include "rules/rule_delta.h"
#include "rules/rule_parser.h"

#include <algorithm>
#include <sstream>

namespace lycheefield {

namespace {

constexpr auto catalogPrefix = "catalog/";
constexpr Duration retryPause = std::chrono::milliseconds(50);
constexpr std::uint32_t maxPauseFactor = 10;
constexpr Duration confirmationPollPeriod = std::chrono::milliseconds(20);

Error storeUnreachableError()
{
    return Error { ErrorKind::Unavailable, "the platform's store does not answer", "check the address given with --platform, or try again later" };
}

void reportRuleErrors(const std::string& path, const std::vector<RuleError>& errors, std::uint32_t skippedLines, Report& report)
{
    for (auto it : errors) {
        it.line += skippedLines;
        std::ostringstream line;
        line << path << ':' << it;
        report.inputError(line.str());
    }
}

/// Returns nothing when the store can't be read; ignores catalog entries that are not valid.
std::optional<ShardCounts> readShardCounts(OperatorAccess& access)
{
    const auto batch = access.list(catalogPrefix);
    if (batch.status != StoreStatus::Ok)
        return std::nullopt;
    ShardCounts counts;
    for (const auto& it : batch.changed) {
        if (const auto entry = parseCatalogEntry(it.value))
            counts[entry.value().service.name] = static_cast<std::uint32_t>(entry.value().service.shards.size());
    }
    return counts;
}

/// Returns the number of rules; reports all errors and returns nothing for an invalid file.
std::optional<std::size_t> checkFile(const std::string& path, const RuleFile& file, const std::optional<ShardCounts>& counts, Report& report)
{
    const std::uint32_t skippedLines = file.base ? 1 : 0;
    auto parsed = parseRules(file.text, RuleRevision());
    if (const auto* errors = std::get_if<std::vector<RuleError>>(&parsed)) {
        reportRuleErrors(path, *errors, skippedLines, report);
        return std::nullopt;
    }
    const auto& table = std::get<RuleTable>(parsed);
    const auto errors = checkRules(table, counts);
    reportRuleErrors(path, errors, skippedLines, report);
    if (!errors.empty())
        return std::nullopt;
    return table.rules().size();
}

/// Returns the current rules; nothing when no rules have been accepted yet.
Result<std::optional<StoredRules>> readCurrent(OperatorAccess& access)
{
    const auto response = access.read(currentRulesKey);
    if (response.status == StoreStatus::NotFound)
        return std::optional<StoredRules>();
    if (response.status != StoreStatus::Ok)
        return storeUnreachableError();
    auto rules = parseStoredRules(response.object.value);
    if (!rules)
        return rules.error();
    return std::optional<StoredRules>(std::move(rules).value());
}

std::string describeChange(const StoredRules& from, RuleRevision revision, const std::string& to)
{
    return describeRuleDelta(from.text, makeRuleDelta(from.revision, from.text, revision, to));
}

std::string describeRevision(const StoredRules& rules)
{
    return "revision " + std::to_string(rules.revision.value()) + ", " + rules.when + ", by " + rules.who + ", apply id " + rules.applyId.value();
}

/// Executes the actions of a RuleWriter until its final action, which is returned.
RuleWriterAction runWriter(RuleWriter& writer, OperatorAccess& access)
{
    auto action = writer.start();
    for (;;) {
        if (const auto* it = std::get_if<ReadRulesObject>(&action)) {
            const auto response = access.read(it->key);
            action = writer.onRead(response.status, response.object);
        } else if (const auto* it = std::get_if<WriteRulesObject>(&action)) {
            action = writer.onWritten(access.write(it->key, it->expected, it->value).status);
        } else if (const auto* it = std::get_if<PauseBeforeRetry>(&action)) {
            access.pause(retryPause * std::min(it->retry, maxPauseFactor));
            action = writer.onRetry();
        } else {
            return action;
        }
    }
}

void reportConflict(const StoredRules& current, RuleRevision base, OperatorAccess& access, Report& report)
{
    report.error({ ErrorKind::Conflict, "the rules changed since revision " + std::to_string(base.value()) + ": " + describeRevision(current),
        "merge the difference below into your file, then apply the file with --base " + std::to_string(current.revision.value()) });
    StoredRules old;
    const auto kept = access.read(ruleHistoryKey(base));
    if (kept.status == StoreStatus::Ok) {
        if (const auto parsed = parseStoredRules(kept.object.value))
            old = parsed.value();
    }
    report.text(describeChange(old, current.revision, current.text));
}

/// Waits until every live instance confirms the revision. When the wait ends first, lists the instances that have
/// not confirmed and returns a failure, or success when no instance is live.
ExitCode awaitInForce(RuleRevision revision, Duration wait, OperatorAccess& access, Report& report)
{
    const auto end = access.now() + wait;
    for (;;) {
        const auto fleet = readFleet(access);
        std::string missing;
        std::size_t confirmed = 0;
        for (const auto& it : fleet) {
            if (it.rules >= revision)
                ++confirmed;
            else
                missing += (missing.empty() ? "" : ", ") + it.instance.name.value();
        }
        const bool isOver = access.now() >= end;
        if ((missing.empty() && !fleet.empty()) || isOver) {
            report.line("in force on " + std::to_string(confirmed) + " of " + std::to_string(fleet.size()) + " instances");
            if (!missing.empty())
                report.line("not confirmed by: " + missing);
            return missing.empty() ? ExitCode::Ok : ExitCode::Failure;
        }
        access.pause(confirmationPollPeriod);
    }
}

/// Returns the revision that the file was made from: by option, by the file's first line, or none for the first rules.
Result<RuleRevision> chooseBase(const ApplyOptions& options, const RuleFile& file, OperatorAccess& access)
{
    if (options.base)
        return RuleRevision(*options.base);
    if (file.base)
        return *file.base;
    const auto current = readCurrent(access);
    if (!current)
        return current.error();
    if (!current.value())
        return RuleRevision();
    return Error { ErrorKind::InvalidInput, "the file does not name the revision that it was made from",
        "see 'lycheefield diff', then write '# revision " + std::to_string(current.value()->revision.value()) + "' as its first line, or use --base" };
}

}

ExitCode checkRuleFile(const std::string& path, OperatorAccess* access, Report& report)
{
    const auto file = readRuleFile(path);
    if (!file) {
        report.error(file.error());
        return ExitCode::Failure;
    }
    std::optional<ShardCounts> counts;
    if (access)
        counts = readShardCounts(*access);
    if (access && !counts) {
        report.error(storeUnreachableError());
        return ExitCode::Failure;
    }
    const auto rules = checkFile(path, file.value(), counts, report);
    if (!rules)
        return ExitCode::Failure;
    report.line(std::to_string(*rules) + " rules are valid" + (counts ? "" : "; services were not checked against the catalog, as no platform was given"));
    return ExitCode::Ok;
}

ExitCode diffRuleFile(const std::string& path, OperatorAccess& access, Report& report)
{
    const auto file = readRuleFile(path);
    const auto current = readCurrent(access);
    if (!file || !current) {
        report.error(file ? current.error() : file.error());
        return ExitCode::Failure;
    }
    const auto& accepted = current.value();
    const auto from = accepted.value_or(StoredRules());
    report.line(accepted ? "from " + describeRevision(from) : "no rules have been accepted yet");
    report.text(describeChange(from, from.revision, file.value().text));
    return ExitCode::Ok;
}

ExitCode applyRuleFile(const ApplyOptions& options, OperatorAccess& access, Report& report)
{
    const auto file = readRuleFile(options.file);
    if (!file) {
        report.error(file.error());
        return ExitCode::Failure;
    }
    const auto counts = readShardCounts(access);
    if (!counts) {
        report.error(storeUnreachableError());
        return ExitCode::Failure;
    }
    if (!checkFile(options.file, file.value(), counts, report))
        return ExitCode::Failure;
    const auto base = chooseBase(options, file.value(), access);
    if (!base) {
        report.error(base.error());
        return ExitCode::Failure;
    }
    RuleRevision highest;
    for (const auto& it : readFleet(access))
        highest = std::max(highest, it.rules);
    RuleWriter writer({ base.value(), highest, ApplyId(options.applyId), options.who, options.when, file.value().text });
    const auto end = runWriter(writer, access);
    if (const auto* conflict = std::get_if<RulesConflict>(&end)) {
        reportConflict(conflict->current, base.value(), access, report);
        return ExitCode::Failure;
    }
    if (const auto* failed = std::get_if<ApplyFailed>(&end)) {
        report.error(failed->error);
        return ExitCode::Failure;
    }
    const auto revision = std::get<RulesAccepted>(end).revision;
    report.line("revision " + std::to_string(revision.value()) + " accepted");
    if (file.value().base) {
        const auto written = writeRuleFile(options.file, { revision, file.value().text });
        if (!written)
            report.error(written.error());
    }
    return awaitInForce(revision, options.wait, access, report);
}

ExitCode showHistory(const std::optional<std::uint64_t>& revision, OperatorAccess& access, Report& report)
{
    const auto current = readCurrent(access);
    const auto batch = access.list(ruleHistoryPrefix);
    if (!current || batch.status != StoreStatus::Ok) {
        report.error(current ? storeUnreachableError() : current.error());
        return ExitCode::Failure;
    }
    std::vector<StoredRules> all;
    for (const auto& it : batch.changed) {
        if (auto parsed = parseStoredRules(it.value))
            all.push_back(std::move(parsed).value());
    }
    if (current.value())
        all.push_back(*current.value());
    // An apply that did not finish may have copied the current revision to the history, which then lists it twice.
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.revision < b.revision; });
    all.erase(std::unique(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.revision == b.revision; }), all.end());
    if (!revision) {
        for (const auto& it : all)
            report.line(describeRevision(it));
        return ExitCode::Ok;
    }
    const auto it = std::find_if(all.begin(), all.end(), [&](const auto& rules) { return rules.revision.value() == *revision; });
    if (it == all.end()) {
        report.error({ ErrorKind::NotFound, "no accepted revision " + std::to_string(*revision), "see 'lycheefield history'" });
        return ExitCode::Failure;
    }
    report.text(formatRuleFile({ it->revision, it->text }));
    return ExitCode::Ok;
}

}
