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
    Duration requestTimeout = 200ms; ///< A request without a response goes to the next peer after this time.
    std::size_t keptRevisions = 8; ///< Number of superseded texts kept as bases for deltas.

    friend bool operator==(const RuleReplicatorSettings&, const RuleReplicatorSettings&) = default;
};

/// Counters since the process started.
struct RuleReplicatorCounters {
    std::uint64_t accepted = 0; ///< Revisions that were put in force.
    std::uint64_t lowerRefused = 0; ///< Texts of the store below the revision in force, and deltas of peers not above it.
    std::uint64_t malformed = 0; ///< Offered texts that could not be parsed, and deltas that did not apply.
    std::uint64_t requests = 0;
    std::uint64_t deltasSent = 0;

    friend bool operator==(const RuleReplicatorCounters&, const RuleReplicatorCounters&) = default;
};

/// Keeps the rules in force on this instance up to date from the store and from peers.
///
/// The revision in force never decreases. The store delivers whole texts, and peers deliver deltas; a delta is
/// accepted only if the hash of its result matches. A text that this process can't parse is logged, and the
/// revision in force stays. Does no I/O and reads no clock. Not thread safe: used on one strand.
class RuleReplicator {
public:
    explicit RuleReplicator(RuleReplicatorSettings = {});

    /// Handles the rules that the store holds.
    void onStored(const StoredRules&, RuleActions&);
    /// Handles a response of the store that holds no rules.
    void onStoreEmpty() { m_hasReadStore = true; }
    /// Handles the revision that a peer reports to have in force.
    void onPeerRevision(const InstanceName&, RuleRevision, TimePoint, RuleActions&);
    /// Handles a peer's request for rules newer than its revision; a peer that requests the whole text sends 0.
    void onRequest(const InstanceName&, RuleRevision have, RuleActions&);
    /// Handles a delta from a peer.
    void onDelta(const InstanceName&, const RuleDelta&, TimePoint, RuleActions&);
    /// Sends no further requests to a peer that is no longer a member.
    void onPeerGone(const InstanceName& peer) { m_peers.erase(peer); }
    /// Sends an overdue request to the next peer.
    void onTimer(TimePoint, RuleActions&);

    /// Returns when to call onTimer next; `never` when no timer is needed.
    TimePoint nextTimer() const { return m_requestDeadline; }
    /// Returns true once rules are in force, or the store has reported its rules or that it has none.
    bool isReady() const { return m_hasReadStore || m_revision.value() > 0; }
    /// The revision in force; 0 when no rules are in force.
    RuleRevision revision() const { return m_revision; }
    /// The text of the revision in force; empty when no rules are in force.
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
    RuleRevision m_rejectedRevision; ///< The highest revision whose text this process can't parse.
    TimePoint m_requestDeadline = never;
    bool m_needsFullText = false; ///< The last delta did not apply.
    bool m_hasReadStore = false;
    RuleReplicatorCounters m_counts;
};

}
