#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace lycheefield::fault_matrix {

/// What is under way when the fault comes.
enum class Operation : std::uint8_t {
    Search,
    Record,
    Order,
    Apply,
    Join,
    Drain,
};

/// A point within an operation at which a fault is brought about.
enum class Step : std::uint8_t {
    Before, ///< Just before it starts.
    Arrived, ///< The entry has the request.
    ClaimSent, ///< The claim's write is on its way to the store.
    ClaimSettled, ///< The claim is decided.
    WorkSent, ///< The first legs are on their way to a relay.
    LegBegun, ///< A server runs the first leg.
    LegAnswered, ///< A server's answer is on its way.
    ResultSent, ///< A relay's result is on its way to the entry.
    Answered, ///< The caller has its answer.
    RulesRead, ///< The operator read the rules in force.
    RulesWritten, ///< The store took the new rules.
    FirstInForce, ///< The new rules are in force on one instance.
    Started, ///< An instance started, or began to drain.
    Listed, ///< The new instance has the list; or the draining one told that it leaves.
    Late, ///< Some time after.
};

constexpr std::string_view nameOf(Operation operation)
{
    switch (operation) {
    case Operation::Search:
        return "search";
    case Operation::Record:
        return "record";
    case Operation::Order:
        return "order";
    case Operation::Apply:
        return "apply";
    case Operation::Join:
        return "join";
    case Operation::Drain:
        return "drain";
    }
    return "";
}

constexpr std::string_view nameOf(Step step)
{
    switch (step) {
    case Step::Before:
        return "before";
    case Step::Arrived:
        return "arrived";
    case Step::ClaimSent:
        return "claim-sent";
    case Step::ClaimSettled:
        return "claim-settled";
    case Step::WorkSent:
        return "work-sent";
    case Step::LegBegun:
        return "leg-begun";
    case Step::LegAnswered:
        return "leg-answered";
    case Step::ResultSent:
        return "result-sent";
    case Step::Answered:
        return "answered";
    case Step::RulesRead:
        return "rules-read";
    case Step::RulesWritten:
        return "rules-written";
    case Step::FirstInForce:
        return "first-in-force";
    case Step::Started:
        return "started";
    case Step::Listed:
        return "listed";
    case Step::Late:
        return "late";
    }
    return "";
}

/// The steps of an operation, in order.
inline std::vector<Step> stepsOf(Operation operation)
{
    switch (operation) {
    case Operation::Search:
    case Operation::Record:
        return { Step::Before, Step::Arrived, Step::WorkSent, Step::LegBegun, Step::LegAnswered, Step::ResultSent, Step::Answered };
    case Operation::Order:
        return { Step::Before, Step::Arrived, Step::ClaimSent, Step::ClaimSettled, Step::WorkSent, Step::LegBegun, Step::LegAnswered, Step::ResultSent, Step::Answered };
    case Operation::Apply:
        return { Step::Before, Step::RulesRead, Step::RulesWritten, Step::FirstInForce, Step::Late };
    case Operation::Join:
        return { Step::Before, Step::Started, Step::Listed, Step::Late };
    case Operation::Drain:
        return { Step::Before, Step::Started, Step::LegBegun, Step::ResultSent, Step::Late };
    }
    return {};
}

}
