#pragma once

#include <boost/system/error_code.hpp>

namespace lycheefield {

/// Returns whether a connection was not opened because this process or machine has no descriptor, port or memory for it, so that the
/// peer was not asked. Thread safe.
inline bool isLackOfResources(const boost::system::error_code& ec)
{
    namespace errc = boost::system::errc;
    return ec == errc::too_many_files_open || ec == errc::too_many_files_open_in_system || ec == errc::address_not_available || ec == errc::no_buffer_space
        || ec == errc::not_enough_memory;
}

}
