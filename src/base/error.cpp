#include "base/error.h"

namespace lycheefield {

std::string_view toString(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
        return "invalid-input";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::UnknownOutcome:
        return "unknown-outcome";
    case ErrorKind::RateLimited:
        return "rate-limited";
    case ErrorKind::NotFound:
        return "not-found";
    case ErrorKind::DeadlineExceeded:
        return "deadline-exceeded";
    case ErrorKind::Overloaded:
        return "overloaded";
    case ErrorKind::Quarantined:
        return "quarantined";
    case ErrorKind::IncompleteCoverage:
        return "incomplete-coverage";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

std::ostream& operator<<(std::ostream& out, const Error& error)
{
    out << toString(error.kind) << ": " << error.message;
    if (!error.remedy.empty())
        out << "; " << error.remedy;
    return out;
}

}
