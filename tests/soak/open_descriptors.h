#pragma once

#include <sys/types.h>

#include <cstddef>
#include <optional>

namespace lycheefield::soak {

/// Returns how many descriptors the process has open, or no value when it has ended or belongs to another user.
std::optional<std::size_t> openDescriptors(pid_t);

}
