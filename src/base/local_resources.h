#pragma once

#include <boost/system/error_code.hpp>

namespace lycheefield {

/// Returns whether the error tells that this process or its machine lacks descriptors, ports or memory. Such an error says
/// nothing about the other side: nothing was sent, and the same call may succeed later. Thread safe.
bool isLackOfResources(const boost::system::error_code&);

}
