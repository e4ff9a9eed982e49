#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "rules/rule_action.h"
#include "rules/stored_rules.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace lycheefield {

using namespace std::chrono_literals;

struct RuleReplicatorSettings {
    Duration requestTimeout = 200ms; ///< A request without an answer goes to another peer after this.
    std::size_t keptRevisions = 8; ///< Texts kept as bases for differences.

    friend bool operator==(const RuleReplicatorSettings&, const RuleReplicatorSettings&) = default;
};

/// Counts since the process started.
struct RuleReplicatorCounters {
    std::uint64_t accepted = 0;
    std::uint64_t lowerRefused = 0; ///< The store or a peer offered a revision below the one in force.
    std::uint64_t malformed = 0; ///< Offered texts that could not be parsed, and deltas that did not fit.
    std::uint64_t requests = 0;
    std::uint64_t deltasSent = 0;

    friend bool operator==(const RuleReplicatorCounters&, const RuleReplicatorCounters&) = default;
};

/// Keeps the rules that are in force on this instance, whoever brings them.
///
/// The revision in force only rises. Texts come whole from the store, and as differences from
/// peers; a difference counts only when the hash of its result is right. Does no I/O and reads no
/// clock. Not thread safe: used on one strand.
class RuleReplicator {
public:
    explicit RuleReplicator(RuleReplicatorSettings = {});

    /// The store holds these rules.
    void onStored(const StoredRules&, RuleActions&);
    /// The store answered, and holds no rules.
    void onStoreEmpty() { m_hasReadStore = true; }
    /// A peer's message said which revision it has in force.
    void onPeerRevision(const InstanceName&, RuleRevision, TimePoint, RuleActions&);
    /// A peer asks for what is newer than the revision that it has.
    void onRequest(const InstanceName&, RuleRevision have, RuleActions&);
    /// A peer sent a difference.
    void onDelta(const InstanceName&, const RuleDelta&, TimePoint, RuleActions&);
    /// The peer is no longer a member.
    void onPeerGone(const InstanceName& peer) { m_peers.erase(peer); }
    void onTimer(TimePoint, RuleActions&);

    /// When onTimer wants to be called; `never` when there is nothing to wait for.
    TimePoint nextTimer() const { return m_requestDeadline; }
    /// True once this instance has rules, or the store said that there are none.
    bool isReady() const { return m_hasReadStore || m_revision.value() > 0; }
    /// 0 when no rules are in force.
    RuleRevision revision() const { return m_revision; }
    /// The text in force.
    const std::string& text() const { return m_text; }
    const RuleReplicatorCounters& counts() const { return m_counts; }

private:
    struct OldText {
        RuleRevision revision;
        std::string text;
    };

    void accept(RuleRevision, const std::string& text, RuleActions&);
    void applyDelta(const InstanceName&, const RuleDelta&, RuleActions&);
    void request(TimePoint, RuleActions&);
    std::optional<InstanceName> nextPeerToAsk() const;
    const std::string* textOf(RuleRevision) const;

    RuleReplicatorSettings m_settings;
    RuleRevision m_revision;
    std::string m_text;
    std::deque<OldText> m_oldTexts; ///< Newest last.
    std::map<InstanceName, RuleRevision> m_peers; ///< Peers known to have a newer revision.
    std::optional<InstanceName> m_requestedPeer;
    RuleRevision m_rejectedRevision; ///< The highest revision whose text this process can't read.
    TimePoint m_requestDeadline = never;
    bool m_needsFullText = false; ///< The last difference did not fit.
    bool m_hasReadStore = false;
    RuleReplicatorCounters m_counts;
};

}
