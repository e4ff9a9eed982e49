#pragma once

#include <compare>
#include <cstdint>
#include <limits>

namespace lycheefield {

/// Division of the process's descriptors between their owners. Immutable, so copies may be read on any thread.
///
/// Callers and backend servers open connections at the pace of the traffic. A bound on each keeps the rest free for the store, other instances, readiness
/// checks and files: an instance that can't open a connection to the store misses changes of its configuration. Of the rest, a half at most goes to
/// connections that anybody may open: those to the readiness and metrics ports, and those of peers that have not said who they are.
class DescriptorBudget {
public:
    static constexpr std::uint64_t unlimited = std::numeric_limits<std::uint64_t>::max();

    /// Divides the given number of descriptors. Callers get a half, servers five sixteenths, each at most as many as an HTTP server may have connections
    /// (`HttpLimits`). Each share is at least 1, so the shares add up to more than the limit if that is below 3, and otherwise to no more.
    static DescriptorBudget divide(std::uint64_t limit);
    /// Divides the limit on the process's descriptors (`RLIMIT_NOFILE`); one that can't be read counts as unlimited.
    static DescriptorBudget ofProcess();

    /// Returns the number of descriptors that the process may have open, or `unlimited`.
    std::uint64_t limit() const { return m_limit; }
    /// Returns how many connections callers may have open.
    std::uint64_t forCallers() const { return m_forCallers; }
    /// Returns how many connections to backend servers may be open.
    std::uint64_t forServers() const { return m_forServers; }
    /// Returns how many descriptors are left for the store, other instances, readiness checks and files.
    std::uint64_t rest() const { return m_rest; }

    friend auto operator<=>(const DescriptorBudget&, const DescriptorBudget&) = default;

private:
    DescriptorBudget(std::uint64_t limit, std::uint64_t forCallers, std::uint64_t forServers, std::uint64_t rest);

    std::uint64_t m_limit;
    std::uint64_t m_forCallers;
    std::uint64_t m_forServers;
    std::uint64_t m_rest;
};

}
