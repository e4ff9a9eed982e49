#pragma once

#include "history/history.h"

#include <boost/json/fwd.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheefield::history {

/// A fault that a script injected, and the outcomes that it explains.
struct FaultRecord {
    std::string name;
    std::string target; ///< address:port of the instance whose callers may get no answer; empty: every caller must get one.
    TimePoint from;
    TimePoint to;
    bool excusesUnknown = false; ///< True when orders and applies in progress during the fault may have an unknown outcome.
};

/// Reads the records of the load tool, the stand-ins and a script, one JSON object per line, and checks
/// them with the same History as the fault matrix. docs/FAULT-MATRIX.md lists the line types. Not thread safe.
class RecordedHistory {
public:
    RecordedHistory();

    /// Adds one line. Throws std::exception when the line is malformed.
    void add(std::string_view line);
    /// Adds the platform's response to `GET /v1/list?prefix=`. Throws std::exception when the response is malformed.
    void addStore(std::string_view list);
    /// Returns a description of each violation. A history too empty to check anything is a violation too.
    std::vector<std::string> violations();

    /// Returns the number of records of each kind, as key=value pairs.
    std::string summary() const;

private:
    struct Call {
        CallRecord record;
        std::string target;
    };

    void addCall(const boost::json::object&);
    void readCallAnswer(const boost::json::object&, CallRecord&);
    /// Adds a line of a server; returns false when the line has another type.
    bool addServerLine(const std::string& type, const boost::json::object&);
    bool addScriptLine(const std::string& type, const boost::json::object&);
    void resolveCalls();
    void resolveReplay(CallRecord&) const;
    void checkNotVacuous(std::vector<std::string>&) const;
    bool isExcused(const Call&) const;
    bool mayBeUnknown(const Call&) const;

    History m_history;
    std::vector<Call> m_calls;
    std::vector<FaultRecord> m_faults;
    std::vector<std::pair<OperatorRecord, TimePoint>> m_operators; ///< Each with the time at which its apply started.
    std::vector<std::string> m_scriptViolations;
    std::uint64_t m_lastCallNumber = 0;
    std::uint32_t m_shards = 0;
};

}
