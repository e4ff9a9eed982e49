#pragma once

#include "routing/route_table.h"

#include <cstdint>
#include <string_view>

namespace lycheefield {

enum class CredentialVerdict : std::uint8_t {
    Admitted,
    Unknown, ///< The caller gave no key that identifies a team.
    Unverifiable, ///< The configuration is too old to tell whether the key is still valid.
};

/// What a caller's API key allows.
struct CredentialDecision {
    CredentialVerdict verdict = CredentialVerdict::Admitted;
    const Team* team = nullptr; ///< Points into the table's directory; null when the request needs no key, and when the key identifies no team.

    friend bool operator==(const CredentialDecision&, const CredentialDecision&) = default;
};

/// Decides whether a caller with this key may use the route. Without teams in the table every caller may. isFresh: whether the table is
/// known to be the latest one; an older one neither admits a key, which may have been removed, nor rejects one, which may have been added.
/// Thread safe; allocates no memory.
CredentialDecision checkCredential(const RouteTable&, const Route&, std::string_view key, bool isFresh);

}
