#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace lycheefield::fault_matrix {

/// The faults that the users' brief requires the system to survive.
enum class Fault : std::uint8_t {
    Straggler,
    ReplicaDown,
    Repartition,
    StoreDown,
    StoreSlow,
    WriteAnswerLost,
    LeaseHolderPaused,
    TwoOperators,
    CrashRequest,
    InstanceKilled,
    InstanceListStale,
    LinkCutOneWay,
    ServerDraining,
    ServerAtConnectionCap,
};

inline constexpr std::array allFaults {
    Fault::Straggler,
    Fault::ReplicaDown,
    Fault::Repartition,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::WriteAnswerLost,
    Fault::LeaseHolderPaused,
    Fault::TwoOperators,
    Fault::CrashRequest,
    Fault::InstanceKilled,
    Fault::InstanceListStale,
    Fault::LinkCutOneWay,
    Fault::ServerDraining,
    Fault::ServerAtConnectionCap,
};

constexpr std::string_view nameOf(Fault fault)
{
    switch (fault) {
    case Fault::Straggler:
        return "straggler";
    case Fault::ReplicaDown:
        return "replica-gone";
    case Fault::Repartition:
        return "repartition";
    case Fault::StoreDown:
        return "store-down";
    case Fault::StoreSlow:
        return "store-slow";
    case Fault::WriteAnswerLost:
        return "write-answer-lost";
    case Fault::LeaseHolderPaused:
        return "holder-paused";
    case Fault::TwoOperators:
        return "two-operators";
    case Fault::CrashRequest:
        return "crash-request";
    case Fault::InstanceKilled:
        return "instance-killed";
    case Fault::InstanceListStale:
        return "list-stale";
    case Fault::LinkCutOneWay:
        return "link-cut";
    case Fault::ServerDraining:
        return "server-drains";
    case Fault::ServerAtConnectionCap:
        return "server-at-cap";
    }
    return "";
}

}
