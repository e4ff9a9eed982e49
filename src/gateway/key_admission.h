#pragma once

#include "admission/configuration_freshness.h"
#include "base/clock.h"
#include "observe/decision_log.h"
#include "observe/metrics.h"
#include "routing/route_table.h"

namespace lycheefield {

/// Follows whether callers with API keys can be served, and logs each change once. Not thread safe.
class KeyAdmission {
public:
    /// Precondition: all arguments outlive the object, and the metrics are not rendered after it has ended.
    KeyAdmission(const ConfigurationFreshness&, const Clock&, DecisionLog&, Metrics&);

    /// Returns false while the table has teams but is not known to be the latest one. The table may be null.
    bool update(const RouteTable*);

private:
    const ConfigurationFreshness& m_freshness;
    const Clock& m_clock;
    DecisionLog& m_log;
    bool m_isPossible = true;
};

}
