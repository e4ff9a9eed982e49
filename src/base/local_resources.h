#pragma once

#include <boost/system/error_code.hpp>

#include <cstddef>

namespace lycheefield {

/// Returns whether the error tells that this process or its machine lacks descriptors, ports or memory. Such an error says
/// nothing about the other side: nothing was sent, and the same call may succeed later. Thread safe.
bool isLackOfResources(const boost::system::error_code&);

/// Returns the part of the process's descriptors that one kind of connection may use: their limit divided by the divisor, at least
/// 1 and at most `most`. Precondition: the divisor and `most` are above 0. Thread safe.
std::size_t shareOfDescriptors(std::size_t divisor, std::size_t most);

}
