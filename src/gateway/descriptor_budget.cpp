#include "gateway/descriptor_budget.h"

#include "http/http_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace lycheefield {

namespace {

constexpr std::uint64_t eighths = 8;
constexpr std::uint64_t callerEighths = 4;
constexpr std::uint64_t serverEighths = 3;

/// Returns the number of eighths of the limit, rounded down. Doesn't overflow.
std::uint64_t share(std::uint64_t limit, std::uint64_t numerator)
{
    return limit / eighths * numerator + limit % eighths * numerator / eighths;
}

}

DescriptorBudget::DescriptorBudget(std::uint64_t limit, std::uint64_t forCallers, std::uint64_t forServers, std::uint64_t rest)
    : m_limit(limit)
    , m_forCallers(forCallers)
    , m_forServers(forServers)
    , m_rest(rest)
{
}

DescriptorBudget DescriptorBudget::divide(std::uint64_t limit)
{
    constexpr std::uint64_t least = 1;
    const std::uint64_t most = HttpLimits().maxConnections;
    if (limit == unlimited)
        return { unlimited, most, most, most };
    const auto callers = std::clamp(share(limit, callerEighths), least, most);
    const auto servers = std::clamp(share(limit, serverEighths), least, most);
    const auto used = callers + servers;
    return { limit, callers, servers, limit > used ? limit - used : least };
}

DescriptorBudget DescriptorBudget::ofProcess()
{
    rlimit descriptors {};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0 || descriptors.rlim_cur == RLIM_INFINITY)
        return divide(unlimited);
    return divide(descriptors.rlim_cur);
}

}
