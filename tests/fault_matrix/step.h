#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace lycheefield::fault_matrix {

/// The operation in progress when the fault is injected.
enum class Operation : std::uint8_t {
    Search,
    Record,
    Order,
    Apply,
    Join,
    Drain,
};

/// A point of an operation at which a fault is injected.
enum class Step : std::uint8_t {
    Before, ///< Just before the operation starts.
    Arrived, ///< The entry received the request.
    ClaimSent, ///< The write of the claim was sent to the store.
    ClaimSettled, ///< The claim is decided.
    WorkSent, ///< The entry sent the first legs to a relay.
    LegBegun, ///< A server started the first leg.
    LegAnswered, ///< A server sent its response to a leg.
    ResultSent, ///< A relay sent a result to the entry.
    Answered, ///< The caller got its answer.
    RulesRead, ///< The operator read the rules in force.
    RulesWritten, ///< The store accepted the new rules.
    FirstInForce, ///< The new rules are in force on one instance.
    Started, ///< An instance started, or started to drain.
    Listed, ///< The new instance has the membership list, or the draining one announced that it leaves.
    Late, ///< About 1 s after the start of the operation.
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

/// Returns the steps of an operation, in order.
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
