#pragma once

#include <sys/resource.h>
#include <unistd.h>

namespace lycheefield {

/// While it exists, the process can open no descriptor, not even in place of one that it closes. Precondition: the standard streams are open.
class NoFreeDescriptors {
public:
    NoFreeDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        // The limit is on the numbers, of which the standard streams have the lowest.
        const rlimit none { STDERR_FILENO + 1, m_before.rlim_max };
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &m_before); }
    NoFreeDescriptors(const NoFreeDescriptors&) = delete;
    NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;

private:
    rlimit m_before {};
};

}
