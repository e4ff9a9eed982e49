#pragma once

#include "base/error.h"
#include "base/stored_object.h"
#include "rules/stored_rules.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lycheefield {

/// Asks the caller to read an object and then to call RuleWriter::onRead.
struct ReadRulesObject {
    std::string key;
    friend bool operator==(const ReadRulesObject&, const ReadRulesObject&) = default;
};

/// Asks the caller to write an object if its version is still the expected one, and then to call RuleWriter::onWritten.
struct WriteRulesObject {
    std::string key;
    ObjectVersion expected;
    std::string value;
    friend bool operator==(const WriteRulesObject&, const WriteRulesObject&) = default;
};

/// Asks the caller to call RuleWriter::onRetry after a pause.
struct PauseBeforeRetry {
    std::uint32_t retry = 0; ///< Counts from 1.
    friend bool operator==(const PauseBeforeRetry&, const PauseBeforeRetry&) = default;
};

/// The rules were accepted with this revision.
struct RulesAccepted {
    RuleRevision revision;
    friend bool operator==(const RulesAccepted&, const RulesAccepted&) = default;
};

/// Another operator's rules have replaced the revision that this operator started from.
struct RulesConflict {
    StoredRules current;
    friend bool operator==(const RulesConflict&, const RulesConflict&) = default;
};

/// The rules were not accepted or, with ErrorKind::UnknownOutcome, may have been accepted.
struct ApplyFailed {
    Error error;
    friend bool operator==(const ApplyFailed&, const ApplyFailed&) = default;
};

using RuleWriterAction = std::variant<ReadRulesObject, WriteRulesObject, PauseBeforeRetry, RulesAccepted, RulesConflict, ApplyFailed>;

/// The rules that an operator wants to put in force.
struct RuleProposal {
    RuleRevision base; ///< The revision that the operator started from; 0 when there were no rules.
    RuleRevision highestInForce; ///< Highest revision in force on any instance; the new revision is higher.
    ApplyId applyId; ///< Unique to this run of `lycheefield apply`.
    std::string who;
    std::string when;
    std::string text;

    friend bool operator==(const RuleProposal&, const RuleProposal&) = default;
};

/// The steps of one `lycheefield apply` against the store.
///
/// The writer reads the current rules, compares their revision with the base, copies them to the history and
/// replaces them with a conditional write. After a lost response the writer reads the rules back and compares the
/// apply id. While the old version is still there, the writer sends the same conditional write again: the first
/// write may still take effect, and the store accepts only one of the two. Each call returns the next action. Does
/// no I/O. Not thread safe.
class RuleWriter {
public:
    explicit RuleWriter(RuleProposal, std::uint32_t maxRetries = 20);

    RuleWriterAction start();
    RuleWriterAction onRead(StoreStatus, const StoredObject&);
    RuleWriterAction onWritten(StoreStatus);
    RuleWriterAction onRetry();

private:
    enum class Step {
        ReadCurrent,
        KeepHistory,
        WriteCurrent,
        ReadBack,
        ReadHistory,
    };

    RuleWriterAction enter(Step);
    RuleWriterAction retryOrGiveUp();
    RuleWriterAction onCurrent(StoreStatus, const StoredObject&);
    RuleWriterAction onReadBack(StoreStatus, const StoredObject&);
    RuleWriterAction onHistory(StoreStatus, const StoredObject&);

    RuleProposal m_proposal;
    std::uint32_t m_maxRetries;
    std::uint32_t m_retries = 0;
    Step m_step = Step::ReadCurrent;
    bool m_mayHaveWritten = false; ///< The conditional write was sent, and its outcome is unknown.
    ObjectVersion m_currentVersion;
    std::optional<StoredRules> m_current; ///< The rules that the conditional write replaces.
    std::optional<StoredRules> m_found; ///< The rules that the read-back found instead of this run's.
    RuleRevision m_newRevision;
};

}
