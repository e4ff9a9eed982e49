#include "gateway/own_declaration.h"

#include <algorithm>

namespace lycheefield {

void OwnDeclaration::recordSent(const RoleDeclaration& declared)
{
    if (m_unconfirmed.empty() || m_unconfirmed.back() != declared)
        m_unconfirmed.push_back(declared);
}

bool OwnDeclaration::recordWritten(const RoleDeclaration& declared)
{
    const bool isAdded = !std::includes(m_written.roles.begin(), m_written.roles.end(), declared.roles.begin(), declared.roles.end());
    m_written = declared;
    m_unconfirmed.clear();
    return isAdded;
}

bool OwnDeclaration::isLatest(const RoleDeclaration& declared) const
{
    return declared == (m_unconfirmed.empty() ? m_written : m_unconfirmed.back());
}

RoleDeclaration OwnDeclaration::confirmed(const RoleDeclaration& listed) const
{
    auto declared = listed;
    const auto keepOnly = [&](const std::set<TeamRole>& roles) { std::erase_if(declared.roles, [&](const auto& it) { return !roles.contains(it); }); };
    keepOnly(m_written.roles);
    for (const auto& it : m_unconfirmed)
        keepOnly(it.roles);
    return declared;
}

}
