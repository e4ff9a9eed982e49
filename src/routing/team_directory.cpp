#include "routing/team_directory.h"

#include "base/fingerprint.h"
#include "base/random_source.h"

namespace lycheefield {

TeamDirectory::KeyDigest TeamDirectory::digestOf(std::string_view key)
{
    static const auto lowSeed = systemSeed();
    static const auto highSeed = systemSeed();
    return { stableHash(key, lowSeed), stableHash(key, highSeed) };
}

TeamDirectory::TeamDirectory(const std::vector<TeamKeys>& teams)
{
    for (const auto& it : teams) {
        const auto position = m_teams.size();
        m_teams.push_back(it.team);
        m_byName.emplace(it.team.name, position);
        for (const auto& key : it.keys) {
            if (key.empty())
                continue;
            const auto [known, isNew] = m_byKey.emplace(digestOf(key), position);
            if (isNew || known->second == position || known->second == noTeam)
                continue;
            known->second = noTeam;
            ++m_ambiguousKeys;
        }
    }
}

const Team* TeamDirectory::findByKey(std::string_view key) const
{
    const auto it = m_byKey.find(digestOf(key));
    return it == m_byKey.end() || it->second == noTeam ? nullptr : &m_teams[it->second];
}

const Team* TeamDirectory::find(const TeamName& name) const
{
    const auto it = m_byName.find(name);
    return it == m_byName.end() ? nullptr : &m_teams[it->second];
}

}
