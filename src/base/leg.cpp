#include "base/leg.h"

#include <utility>

namespace lycheefield {

std::string_view toString(LegOutcome outcome)
{
    switch (outcome) {
    case LegOutcome::Ok:
        return "ok";
    case LegOutcome::Refused:
        return "refused";
    case LegOutcome::Expired:
        return "expired";
    case LegOutcome::Quarantined:
        return "quarantined";
    case LegOutcome::VersionGone:
        return "version-gone";
    case LegOutcome::ShardMoved:
        return "shard-moved";
    case LegOutcome::Cancelled:
        return "cancelled";
    case LegOutcome::Failed:
        return "failed";
    case LegOutcome::Lost:
        return "lost";
    case LegOutcome::NotHeld:
        return "not-held";
    }
    return "lost";
}

LegResult notHeldResult(const WorkOrder& order, const LegOrder& leg, std::string detail)
{
    LegResult result;
    result.key = { order.request, leg.leg, leg.attempt };
    result.shard = leg.shard;
    result.outcome = LegOutcome::NotHeld;
    result.state.server = leg.server;
    result.detail = std::move(detail);
    return result;
}

}
