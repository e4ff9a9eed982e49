#pragma once

#include "base/time.h"
#include "platform/watch_action.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheefield {

/// Logs why calls to the store fail: once for each reason of a series of failures, and once when the series ends.
/// Not thread safe.
class CallFailureLog {
public:
    /// objects: names the objects that the calls ask for.
    explicit CallFailureLog(std::string objects);

    /// Records a failed call that was sent at that time, and appends a log line if the series has none with the reason and not too many with others.
    void onFailure(const std::string& why, TimePoint sentAt, TimePoint now, WatchActions&);
    /// Records a successful call, and appends a log line if calls before it failed.
    void onSuccess(TimePoint now, WatchActions&);

private:
    std::string m_objects;
    std::vector<std::string> m_reasons; ///< Those of the series that were logged.
    std::uint64_t m_failures = 0; ///< In a row.
    TimePoint m_failingSince {}; ///< When the first call of the series was sent.
};

}
