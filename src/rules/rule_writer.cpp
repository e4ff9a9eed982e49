#include "rules/rule_writer.h"

#include <algorithm>

namespace lycheefield {

namespace {

bool isTransient(StoreStatus status)
{
    return status == StoreStatus::Unavailable || status == StoreStatus::Lost;
}

}

RuleWriter::RuleWriter(RuleProposal proposal, std::uint32_t maxRetries)
    : m_proposal(std::move(proposal))
    , m_maxRetries(maxRetries)
{
}

RuleWriterAction RuleWriter::start()
{
    return enter(Step::ReadCurrent);
}

RuleWriterAction RuleWriter::enter(Step step)
{
    m_step = step;
    switch (step) {
    case Step::ReadCurrent:
    case Step::ReadBack:
        return ReadRulesObject { currentRulesKey };
    case Step::KeepHistory:
        return WriteRulesObject { ruleHistoryKey(m_current->revision), ObjectVersion(), formatStoredRules(*m_current) };
    case Step::WriteCurrent: {
        const StoredRules rules { m_newRevision, m_proposal.applyId, m_proposal.who, m_proposal.when, m_proposal.text };
        return WriteRulesObject { currentRulesKey, m_currentVersion, formatStoredRules(rules) };
    }
    case Step::ReadHistory:
        return ReadRulesObject { ruleHistoryKey(m_newRevision) };
    }
    return ReadRulesObject { currentRulesKey };
}

RuleWriterAction RuleWriter::onRead(StoreStatus status, const StoredObject& object)
{
    if (isTransient(status))
        return retryOrGiveUp();
    switch (m_step) {
    case Step::ReadBack:
        return onReadBack(status, object);
    case Step::ReadHistory:
        return onHistory(status, object);
    default:
        return onCurrent(status, object);
    }
}

RuleWriterAction RuleWriter::onCurrent(StoreStatus status, const StoredObject& object)
{
    if (status == StoreStatus::Ok) {
        const auto parsed = parseStoredRules(object.value);
        if (!parsed)
            return ApplyFailed { parsed.error() };
        m_current = parsed.value();
        m_currentVersion = object.version;
    }
    const auto revision = m_current ? m_current->revision : RuleRevision();
    if (m_current && revision != m_proposal.base)
        return RulesConflict { *m_current };
    m_newRevision = RuleRevision(std::max(revision.value(), m_proposal.highestInForce.value()) + 1);
    return enter(m_current ? Step::KeepHistory : Step::WriteCurrent);
}

RuleWriterAction RuleWriter::onWritten(StoreStatus status)
{
    if (m_step == Step::KeepHistory) {
        // A conflict means that another run has already saved this revision to the history.
        return isTransient(status) ? retryOrGiveUp() : enter(Step::WriteCurrent);
    }
    if (status == StoreStatus::Ok)
        return RulesAccepted { m_newRevision };
    if (status == StoreStatus::Unavailable)
        return retryOrGiveUp();
    m_mayHaveWritten = m_mayHaveWritten || status == StoreStatus::Lost;
    // A conflict may come from an earlier write of this run whose response was lost.
    return enter(Step::ReadBack);
}

RuleWriterAction RuleWriter::onReadBack(StoreStatus status, const StoredObject& object)
{
    if (status == StoreStatus::NotFound || object.version == m_currentVersion) {
        m_step = Step::WriteCurrent;
        return retryOrGiveUp();
    }
    const auto parsed = parseStoredRules(object.value);
    if (!parsed)
        return ApplyFailed { parsed.error() };
    if (parsed.value().applyId == m_proposal.applyId)
        return RulesAccepted { m_newRevision };
    m_found = parsed.value();
    if (m_found->revision > m_newRevision)
        return enter(Step::ReadHistory);
    return RulesConflict { *m_found };
}

/// Checks the history, because the write of this run may have been accepted and then superseded.
RuleWriterAction RuleWriter::onHistory(StoreStatus status, const StoredObject& object)
{
    const auto parsed = status == StoreStatus::Ok ? parseStoredRules(object.value) : Result<StoredRules>(Error());
    if (parsed && parsed.value().applyId == m_proposal.applyId)
        return RulesAccepted { m_newRevision };
    return RulesConflict { *m_found };
}

RuleWriterAction RuleWriter::retryOrGiveUp()
{
    if (++m_retries <= m_maxRetries)
        return PauseBeforeRetry { m_retries };
    if (m_mayHaveWritten) {
        return ApplyFailed { { ErrorKind::UnknownOutcome, "the store did not respond, so it is unknown whether the rules were accepted",
            "run 'lycheefield history' when the store is reachable again, and look for apply id " + m_proposal.applyId.value() } };
    }
    return ApplyFailed { { ErrorKind::Unavailable, "the store is unavailable; nothing was changed", "try again later" } };
}

RuleWriterAction RuleWriter::onRetry()
{
    return enter(m_step);
}

}
