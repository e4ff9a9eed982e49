#pragma once

#include "base/time.h"
#include "membership/member_digest.h"
#include "membership/view.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lycheefield {

/// One other instance as this one knows it.
struct Member {
    Instance instance;
    std::uint64_t incarnation = 0;
    TimePoint since; ///< When the health last changed.
    std::uint32_t failedProbes = 0; ///< In a row.
    bool left = false; ///< It said itself that it goes, so nobody tries to reach it again.
};

/// What a digest changed.
enum class MergeEffect : std::uint8_t {
    None,
    Refreshed, ///< Only the incarnation is newer.
    Changed, ///< The life or the health is another, or the member is new: worth passing on.
};

/// Everything known of the other instances, merged by the order of digests. Not thread safe.
class MemberTable {
public:
    MergeEffect merge(const MemberDigest&, TimePoint);
    /// Adds an instance that only the platform's list named; known names keep what is known of
    /// them, but a leaving mark is taken over. True when something changed.
    bool addListed(const Instance&, TimePoint);
    /// Changes the health of a member at its present incarnation.
    void setHealth(Member&, InstanceHealth, TimePoint);
    /// Drops gone members that nobody can hear of any more.
    void forgetGone(TimePoint before);

    Member* find(const InstanceName&);
    const Member* find(const InstanceName&) const;
    const std::map<InstanceName, Member>& members() const { return m_members; }
    /// Names of the members that are not gone.
    std::vector<InstanceName> present() const;
    /// Names of the members that are gone without having left.
    std::vector<InstanceName> lost() const;
    /// Suspects, in no order of time.
    std::vector<InstanceName> suspects() const;
    /// Starts all suspicions anew, after this process itself was paused.
    void restartSuspicions(TimePoint);
    /// Rises with each change that the view shows.
    std::uint64_t changes() const { return m_changes; }
    /// The view for others to read: this instance, everyone who is not gone, and whoever is gone
    /// without having left, since it may yet be reached again.
    MembershipView viewWith(const Instance& self) const;

private:
    std::vector<InstanceName> namesWith(bool (*)(const Member&)) const;

    std::map<InstanceName, Member> m_members;
    std::uint64_t m_changes = 0;
};

/// The digest that tells what is known of a member; the address only for one that is alive.
MemberDigest digestOf(const Instance&, std::uint64_t incarnation);

/// As digestOf, always with the address.
MemberDigest fullDigestOf(const Instance&, std::uint64_t incarnation);

}
