#include "base/local_resources.h"

#include <boost/system/errc.hpp>

#include <sys/resource.h>

#include <algorithm>

namespace lycheefield {

bool isLackOfResources(const boost::system::error_code& ec)
{
    namespace errc = boost::system::errc;
    return ec == errc::too_many_files_open || ec == errc::too_many_files_open_in_system || ec == errc::address_not_available || ec == errc::no_buffer_space
        || ec == errc::not_enough_memory;
}

std::size_t shareOfDescriptors(std::size_t divisor, std::size_t most)
{
    rlimit descriptors {};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0 || descriptors.rlim_cur == RLIM_INFINITY)
        return most;
    return std::clamp<std::size_t>(descriptors.rlim_cur / divisor, 1, most);
}

}
