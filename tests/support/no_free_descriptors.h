#pragma once

#include <sys/resource.h>
#include <unistd.h>

namespace lycheefield {

/// While it exists, the process can open no further descriptor.
class NoFreeDescriptors {
public:
    NoFreeDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        // dup() returns the lowest free number, and the limit is on the numbers.
        const int lowestFree = dup(STDERR_FILENO);
        ::close(lowestFree);
        const rlimit none { static_cast<rlim_t>(lowestFree), m_before.rlim_max };
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &m_before); }
    NoFreeDescriptors(const NoFreeDescriptors&) = delete;
    NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;

private:
    rlimit m_before {};
};

}
