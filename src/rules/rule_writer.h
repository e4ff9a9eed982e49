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

/// Read an object, then call RuleWriter::onRead.
struct ReadRulesObject {
    std::string key;
    friend bool operator==(const ReadRulesObject&, const ReadRulesObject&) = default;
};

/// Write an object if its version is still the expected one, then call RuleWriter::onWritten.
struct WriteRulesObject {
    std::string key;
    ObjectVersion expected;
    std::string value;
    friend bool operator==(const WriteRulesObject&, const WriteRulesObject&) = default;
};

/// Call RuleWriter::onRetry after a pause.
struct PauseBeforeRetry {
    std::uint32_t retry = 0; ///< Counts from 1.
    friend bool operator==(const PauseBeforeRetry&, const PauseBeforeRetry&) = default;
};

/// The rules are accepted at this revision.
struct RulesAccepted {
    RuleRevision revision;
    friend bool operator==(const RulesAccepted&, const RulesAccepted&) = default;
};

/// Another operator's rules are there instead of the revision that this one started from.
struct RulesConflict {
    StoredRules current;
    friend bool operator==(const RulesConflict&, const RulesConflict&) = default;
};

/// Nothing was accepted, or, with ErrorKind::UnknownOutcome, it is not known.
struct ApplyFailed {
    Error error;
    friend bool operator==(const ApplyFailed&, const ApplyFailed&) = default;
};

using RuleWriterAction = std::variant<ReadRulesObject, WriteRulesObject, PauseBeforeRetry, RulesAccepted, RulesConflict, ApplyFailed>;

/// What an operator wants to have in force.
struct RuleProposal {
    RuleRevision base; ///< The revision that the operator started from; 0: there were no rules.
    RuleRevision highestInForce; ///< Of all instances; the new revision is above it.
    ApplyId applyId; ///< Unique to this run.
    std::string who;
    std::string when;
    std::string text;

    friend bool operator==(const RuleProposal&, const RuleProposal&) = default;
};

/// The steps of one `lycheefield apply` against the store.
///
/// It reads the current rules, compares their revision with the base, keeps them in the history,
/// and replaces them by a conditional write. A lost answer is settled by reading back the apply id;
/// while the old version is still there the same write is sent again, since the first one may still
/// take effect. Each call gives the one action to do next. Does no I/O. Not thread safe.
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
    bool m_mayHaveWritten = false; ///< The conditional write was sent and no answer settled it.
    ObjectVersion m_currentVersion;
    std::optional<StoredRules> m_current; ///< What the conditional write replaces.
    std::optional<StoredRules> m_found; ///< What the read-back found in its place.
    RuleRevision m_newRevision;
};

}
