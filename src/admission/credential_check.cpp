#include "admission/credential_check.h"

namespace lycheefield {

CredentialDecision checkCredential(const RouteTable& table, const Route& route, std::string_view key, bool isFresh)
{
    if (!table.teams || route.isPublic)
        return {};
    const auto* team = table.teams->findByKey(key);
    if (!isFresh)
        return { CredentialVerdict::Unverifiable, team };
    return { team ? CredentialVerdict::Admitted : CredentialVerdict::Unknown, team };
}

}
