#pragma once

#include <boost/outcome/result.hpp>

#include <ostream>
#include <string>
#include <string_view>

namespace lycheefield {

enum class ErrorKind {
    InvalidInput, ///< The caller or operator must correct the input.
    Conflict, ///< Another writer changed the object first; read it again.
    Unavailable, ///< A dependency did not accept the request; the request had no effect.
    UnknownOutcome, ///< The request was sent and no response came.
    RateLimited, ///< A rate limit or budget refused the request; retry later.
    NotFound,
    DeadlineExceeded,
    Overloaded,
    Quarantined, ///< The content crashed backend servers and is refused until its quarantine ends.
    IncompleteCoverage, ///< Fewer shards responded than the rule requires.
    Internal,
};

std::string_view toString(ErrorKind);

/// Typed failure. The message says what happened; the remedy says how the reader can correct the failure.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    std::string remedy;

    friend bool operator==(const Error&, const Error&) = default;
    friend std::ostream& operator<<(std::ostream&, const Error&);
};

/// Either a value or an Error.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

}
