#include "open_descriptors.h"

#include <filesystem>
#include <string>

namespace lycheefield::soak {

std::optional<std::size_t> openDescriptors(pid_t pid)
{
    std::error_code ec;
    std::filesystem::directory_iterator it("/proc/" + std::to_string(pid) + "/fd", ec);
    std::size_t count = 0;
    for (const std::filesystem::directory_iterator end; !ec && it != end; it.increment(ec))
        ++count;
    if (ec)
        return std::nullopt;
    return count;
}

}
