#include "membership/member_table.h"

#include <tuple>

namespace lycheefield {

namespace {

auto precedenceOf(std::uint64_t incarnation, ProcessLife life, InstanceHealth health)
{
    return std::make_tuple(incarnation, life, health);
}

bool supersedes(const MemberDigest& digest, const Member& member)
{
    return precedenceOf(digest.incarnation, digest.life, digest.health) > precedenceOf(member.incarnation, member.instance.life, member.instance.health);
}

Instance instanceOf(const MemberDigest& digest)
{
    return { digest.name, digest.life, digest.address->inner, digest.address->http, digest.address->zone, digest.health };
}

}

MergeEffect MemberTable::merge(const MemberDigest& digest, TimePoint now)
{
    const auto it = m_members.find(digest.name);
    if (it == m_members.end()) {
        if (!digest.address || digest.health == InstanceHealth::Gone)
            return MergeEffect::None;
        m_members.emplace(digest.name, Member { instanceOf(digest), digest.incarnation, now });
        ++m_changes;
        return MergeEffect::Changed;
    }
    auto& member = it->second;
    const bool isNewLife = digest.life != member.instance.life;
    if (!supersedes(digest, member) || (isNewLife && !digest.address))
        return MergeEffect::None;
    const auto before = member.instance;
    if (digest.address)
        member.instance = { digest.name, digest.life, digest.address->inner, digest.address->http, digest.address->zone, before.health };
    if (isNewLife || digest.health == InstanceHealth::Alive)
        member.hasLeft = false;
    member.incarnation = digest.incarnation;
    setHealth(member, digest.health, now);
    if (member.instance == before)
        return MergeEffect::Refreshed;
    ++m_changes;
    return MergeEffect::Changed;
}

bool MemberTable::mergeListed(const Instance& instance, TimePoint now)
{
    const auto [it, isNew] = m_members.try_emplace(instance.name, Member { instance, 0, now });
    if (isNew) {
        ++m_changes;
        return true;
    }
    auto& member = it->second;
    const bool leaves = instance.life == member.instance.life && instance.health == InstanceHealth::Leaving && member.instance.canOwn();
    if (leaves)
        setHealth(member, InstanceHealth::Leaving, now);
    return leaves;
}

void MemberTable::setHealth(Member& member, InstanceHealth health, TimePoint now)
{
    if (health == member.instance.health)
        return;
    if (health == InstanceHealth::Leaving)
        member.hasLeft = true;
    ++m_changes;
    member.instance.health = health;
    member.healthChangedAt = now;
    member.failedProbes = 0;
}

void MemberTable::evictGone(TimePoint before)
{
    m_changes += std::erase_if(m_members, [&](const auto& it) { return it.second.instance.health == InstanceHealth::Gone && it.second.healthChangedAt < before; });
}

Member* MemberTable::find(const InstanceName& name)
{
    const auto it = m_members.find(name);
    return it == m_members.end() ? nullptr : &it->second;
}

const Member* MemberTable::find(const InstanceName& name) const
{
    const auto it = m_members.find(name);
    return it == m_members.end() ? nullptr : &it->second;
}

std::vector<InstanceName> MemberTable::namesWith(bool (*wanted)(const Member&)) const
{
    std::vector<InstanceName> names;
    for (const auto& [name, member] : m_members) {
        if (wanted(member))
            names.push_back(name);
    }
    return names;
}

std::vector<InstanceName> MemberTable::presentMembers() const
{
    return namesWith([](const Member& it) { return it.instance.health != InstanceHealth::Gone; });
}

std::vector<InstanceName> MemberTable::failedMembers() const
{
    return namesWith([](const Member& it) { return it.instance.health == InstanceHealth::Gone && !it.hasLeft; });
}

std::vector<InstanceName> MemberTable::suspects() const
{
    return namesWith([](const Member& it) { return it.instance.health == InstanceHealth::Suspect; });
}

void MemberTable::restartSuspicionTimers(TimePoint now)
{
    for (auto& [name, member] : m_members) {
        member.failedProbes = 0;
        if (member.instance.health == InstanceHealth::Suspect)
            member.healthChangedAt = now;
    }
}

MembershipView MemberTable::buildView(const Instance& self) const
{
    std::vector<Instance> instances { self };
    for (const auto& [name, member] : m_members) {
        if (member.instance.health != InstanceHealth::Gone || !member.hasLeft)
            instances.push_back(member.instance);
    }
    return MembershipView(instances);
}

MemberDigest digestOf(const Instance& instance, std::uint64_t incarnation)
{
    auto digest = fullDigestOf(instance, incarnation);
    if (instance.health != InstanceHealth::Alive)
        digest.address.reset();
    return digest;
}

MemberDigest fullDigestOf(const Instance& instance, std::uint64_t incarnation)
{
    return { instance.name, instance.life, incarnation, instance.health, MemberAddress { instance.inner, instance.http, instance.zone } };
}

}
