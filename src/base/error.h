#pragma once

#include <boost/outcome/result.hpp>

#include <ostream>
#include <string>
#include <string_view>

namespace lycheefield {

enum class ErrorKind {
    InvalidInput, ///< The caller or operator must change what was sent.
    Conflict, ///< Someone else changed the object first; read it again.
    Unavailable, ///< A dependency did not take the request; nothing happened.
    UnknownOutcome, ///< The request was handed over and no answer came.
    RateLimited, ///< Refused by a budget; try again later.
    NotFound,
    DeadlineExceeded,
    Overloaded,
    Quarantined, ///< The content crashed backend servers and is refused for a time.
    IncompleteCoverage, ///< Fewer shards answered than the rule asks for.
    Internal,
};

std::string_view toString(ErrorKind);

/// A typed failure. The message says what happened; the remedy says what the reader can do.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    std::string remedy;

    friend bool operator==(const Error&, const Error&) = default;
    friend std::ostream& operator<<(std::ostream&, const Error&);
};

/// A value or an Error.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

}
