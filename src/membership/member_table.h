#pragma once

#include "base/time.h"
#include "membership/member_digest.h"
#include "membership/view.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lycheefield {

/// One other instance as this instance knows it.
struct Member {
    Instance instance;
    std::uint64_t incarnation = 0;
    TimePoint healthChangedAt;
    std::uint32_t failedProbes = 0; ///< Consecutive failures.
    bool hasLeft = false; ///< The instance announced its own departure, so it is not probed again once it is gone.
};

/// Effect of merging a digest.
enum class MergeEffect : std::uint8_t {
    None,
    Refreshed, ///< Only the incarnation changed.
    Changed, ///< The life, health or address changed, or the member is new; the digest is gossiped further.
};

/// State of all other instances, merged from digests in their order of precedence. Not thread safe.
class MemberTable {
public:
    MergeEffect merge(const MemberDigest&, TimePoint);
    /// Adds an instance from the platform's list. A member that is already known keeps its state, except
    /// that it becomes leaving when the list says so. Returns true when something changed.
    bool mergeListed(const Instance&, TimePoint);
    /// Changes the health of a member without changing its incarnation.
    void setHealth(Member&, InstanceHealth, TimePoint);
    /// Evicts the members that have been gone since before `before`.
    void evictGone(TimePoint before);

    Member* find(const InstanceName&);
    const Member* find(const InstanceName&) const;
    const std::map<InstanceName, Member>& members() const { return m_members; }
    /// Names of all members that are not gone.
    std::vector<InstanceName> presentMembers() const;
    /// Names of the members that are gone but never announced their departure.
    std::vector<InstanceName> failedMembers() const;
    /// Names of the suspects, ordered by name.
    std::vector<InstanceName> suspects() const;
    /// Restarts the suspicion time of every suspect, after this process itself was paused.
    void restartSuspicionTimers(TimePoint);
    /// Counter that increases with each change visible in the view.
    std::uint64_t changes() const { return m_changes; }
    /// Builds the view to publish: this instance, all members that are not gone, and the members that
    /// are gone but never announced their departure, since those may become reachable again.
    MembershipView buildView(const Instance& self) const;

private:
    std::vector<InstanceName> namesWith(bool (*)(const Member&)) const;

    std::map<InstanceName, Member> m_members;
    std::uint64_t m_changes = 0;
};

/// Returns the digest of an instance, with its address only if the instance is alive.
MemberDigest digestOf(const Instance&, std::uint64_t incarnation);

/// Returns the digest of an instance, always with its address.
MemberDigest fullDigestOf(const Instance&, std::uint64_t incarnation);

}
