#pragma once

#include "history/history.h"

#include <boost/json/fwd.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheefield::history {

/// A fault that a script brought about, with what it excuses.
struct FaultRecord {
    std::string name;
    std::string target; ///< address:port of the instance whose callers are owed no answer; empty: nobody's.
    TimePoint from;
    TimePoint to;
    bool excusesUnknown = false; ///< Orders and applies under way meanwhile may end unknown.
};

/// Reads what the load tool, the stand-ins and a script wrote down, one JSON object a line, and judges
/// it by the same History as the fault matrix. docs/FAULT-MATRIX.md names the lines. Not thread safe.
class RecordedHistory {
public:
    RecordedHistory();

    /// Takes one line. Throws std::exception when it can't be read.
    void add(std::string_view line);
    /// Takes the platform's answer to `GET /v1/list?prefix=`. Throws std::exception when it can't be read.
    void addStore(std::string_view list);
    /// Every violation found, in words. A history in which nothing happened is a violation too.
    std::vector<std::string> violations();

    /// What there was to judge, as key=value pairs.
    std::string summary() const;

private:
    struct Call {
        CallRecord record;
        std::string target;
    };

    void addCall(const boost::json::object&);
    void readReply(const boost::json::object&, CallRecord&);
    /// False when the line is of another type.
    bool addOfServers(const std::string& type, const boost::json::object&);
    bool addOfScript(const std::string& type, const boost::json::object&);
    void settleCalls();
    void settleReplay(CallRecord&) const;
    void checkSubstance(std::vector<std::string>&) const;
    bool isExcused(const Call&) const;
    bool mayBeUnknown(const Call&) const;

    History m_history;
    std::vector<Call> m_calls;
    std::vector<FaultRecord> m_faults;
    std::vector<std::pair<OperatorRecord, TimePoint>> m_operators; ///< With the time at which each began.
    std::vector<std::string> m_seenByScript;
    std::uint64_t m_withoutId = 0;
    std::uint32_t m_shards = 0;
};

}
