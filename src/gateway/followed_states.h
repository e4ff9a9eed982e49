#pragma once

#include "base/clock.h"
#include "gateway/followed_objects.h"
#include "gateway/state_freshness.h"
#include "observe/decision_log.h"
#include "observe/metrics.h"

#include <map>
#include <string>

namespace lycheefield {

/// Logs when the state of a kind of objects is no longer known to be current and when it is again, each once, and shows the ages and revisions as
/// metrics. Not thread safe.
class FollowedStates {
public:
    /// Preconditions: the arguments outlive the object, and the metrics are not rendered after it has ended.
    FollowedStates(const Clock&, DecisionLog&, Metrics&);

    /// Follows the objects from now on. limit: time within which a change must be in force; zero: the objects aren't followed. Precondition: called at
    /// most once for each kind.
    void follow(FollowedObjects, Duration limit);
    /// Records a proof for objects that are followed; for others it does nothing.
    void record(FollowedObjects, const StateProof&);
    /// Must be called periodically, also while no proofs come.
    void review();
    /// Returns the age of the latest proof in whole milliseconds, for log lines; "none" for objects that are not followed.
    std::string ageText(FollowedObjects) const;
    /// Returns the known revision of the store, for log lines; "none" for objects that are not followed.
    std::string revisionText(FollowedObjects) const;

private:
    void logChange(FollowedObjects, StateFreshness&);

    const Clock& m_clock;
    DecisionLog& m_log;
    Metrics& m_metrics;
    std::map<FollowedObjects, StateFreshness> m_states;
};

}
