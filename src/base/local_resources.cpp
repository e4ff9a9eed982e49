#include "base/local_resources.h"

#include <boost/system/errc.hpp>

namespace lycheefield {

bool isLackOfResources(const boost::system::error_code& ec)
{
    namespace errc = boost::system::errc;
    return ec == errc::too_many_files_open || ec == errc::too_many_files_open_in_system || ec == errc::address_not_available || ec == errc::no_buffer_space
        || ec == errc::not_enough_memory;
}

}
