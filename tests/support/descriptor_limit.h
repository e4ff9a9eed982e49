#pragma once

#include <doctest/doctest.h>

#include <sys/resource.h>

namespace lycheefield {

/// While it exists, the process may have that many descriptors. Not thread safe: one at a time.
class DescriptorLimit {
public:
    explicit DescriptorLimit(rlim_t limit)
    {
        REQUIRE(getrlimit(RLIMIT_NOFILE, &m_before) == 0);
        const rlimit changed { limit, m_before.rlim_max };
        REQUIRE(setrlimit(RLIMIT_NOFILE, &changed) == 0);
    }
    ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &m_before); }
    DescriptorLimit(const DescriptorLimit&) = delete;
    DescriptorLimit& operator=(const DescriptorLimit&) = delete;

private:
    rlimit m_before {};
};

}
