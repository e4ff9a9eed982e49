#pragma once

#include <cstdint>
#include <string>

namespace lycheefield {

/// The kinds of objects in the platform's store whose changes must be in force within a limit.
enum class FollowedObjects : std::uint8_t {
    Configuration,
    Servers,
    ZoneDrains,
};

/// Returns the name for log lines and metric labels.
constexpr const char* nameOf(FollowedObjects objects)
{
    switch (objects) {
    case FollowedObjects::Configuration:
        return "configuration";
    case FollowedObjects::Servers:
        return "servers";
    case FollowedObjects::ZoneDrains:
        break;
    }
    return "zone_drains";
}

}
