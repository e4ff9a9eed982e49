#include "query/answer_builder.h"

namespace lycheefield {

namespace {

MissingShard missingShardOf(const LegState& leg)
{
    if (!leg.reason.empty())
        return { leg.shard->number, leg.reason };
    return { leg.shard->number, "no response in time" };
}

Error refusalOfOutcome(LegOutcome outcome)
{
    switch (outcome) {
    case LegOutcome::Quarantined:
        return quarantineRefusal();
    case LegOutcome::Expired:
        return { ErrorKind::DeadlineExceeded, "the backend servers could not process the request before its deadline", "send the request again, or allow more time" };
    case LegOutcome::NotHeld:
        return { ErrorKind::Unavailable, "none of the instances contacted holds a server for the request", "send the request again" };
    case LegOutcome::Refused:
        return { ErrorKind::Overloaded, "the backend servers refused the request", "send the request again after the time given in the answer" };
    case LegOutcome::Failed:
        return { ErrorKind::Internal, "the backend server reported a failure", "see the trace of this request" };
    case LegOutcome::VersionGone:
    case LegOutcome::ShardMoved:
        return { ErrorKind::Unavailable, "no backend server serves the pinned index version any more", "send the request again" };
    case LegOutcome::Ok:
    case LegOutcome::Cancelled:
    case LegOutcome::Lost:
        break;
    }
    return { ErrorKind::UnknownOutcome, "the request was sent to a backend server and no response came", "find out whether the request ran before sending it again" };
}

}

Error quarantineRefusal()
{
    return { ErrorKind::Quarantined, "requests with this content recently crashed backend servers", "change the request, or ask the operators" };
}

RunState runStateOf(const Query& query)
{
    if (query.ran)
        return RunState::Ran;
    if (query.mayHaveRun)
        return RunState::Unknown;
    for (const auto& it : query.legs) {
        if (it.hasOpenAttempt())
            return RunState::Unknown;
    }
    return RunState::NotRun;
}

Answer buildAnswer(const Query& query, std::optional<Error> refusal)
{
    Answer answer;
    answer.request = query.request.id;
    answer.runState = runStateOf(query);
    answer.version = query.version;
    answer.retryAfter = query.retryAfter;
    if (query.service)
        answer.epoch = query.service->epoch;
    for (const auto& it : query.legs) {
        if (!it.answer)
            answer.missing.push_back(missingShardOf(it));
        else if (!refusal)
            answer.covered.push_back(*it.answer);
        else
            answer.missing.push_back({ it.shard->number, "left out: the shard answered, but too few other shards did" });
    }
    answer.refusal = std::move(refusal);
    return answer;
}

Error refusalOf(const Query& query, bool deadlinePassed)
{
    const bool isSearch = query.rule->kind == RequestKind::Search;
    if (query.rule->kind == RequestKind::Order && runStateOf(query) == RunState::Unknown)
        return refusalOfOutcome(LegOutcome::Lost);
    if (deadlinePassed && !isSearch)
        return { ErrorKind::DeadlineExceeded, "no response came before the deadline", "send the request again, or allow more time" };
    for (const auto& it : query.legs) {
        if (it.lastOutcome == LegOutcome::Quarantined)
            return refusalOfOutcome(LegOutcome::Quarantined);
    }
    if (isSearch && (deadlinePassed || query.covered > 0))
        return { ErrorKind::IncompleteCoverage, "too few shards answered for the minimum coverage of rule " + query.rule->name, "send the request again, or accept lower coverage" };
    for (const auto& it : query.legs) {
        if (!it.answer && it.lastOutcome)
            return refusalOfOutcome(*it.lastOutcome);
    }
    return { ErrorKind::Unavailable, "no instance owns a usable server of service " + query.rule->service.value(), "send the request again" };
}

}
