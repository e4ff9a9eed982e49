#include "standin/run_history.h"

#include <boost/json.hpp>

#include <stdexcept>

namespace lycheefield::standin {

namespace json = boost::json;

namespace {

const char* nameOf(RequestKind kind)
{
    if (kind == RequestKind::Order)
        return "order";
    return kind == RequestKind::Record ? "record" : "search";
}

json::object lineFor(const char* type, const LegKey& key)
{
    return { { "type", type }, { "request", key.request.toString() }, { "leg", key.leg.value() }, { "attempt", key.attempt.value() } };
}

json::object lineFor(const char* type, const ServerName& server, TimePoint at)
{
    return { { "type", type }, { "server", server.value() }, { "at_us", at.time_since_epoch().count() } };
}

}

RunHistory::RunHistory(const std::string& path)
    : m_out(path)
{
    if (!m_out)
        throw std::runtime_error("can't write the run history to " + path + "; choose another file with --history");
}

void RunHistory::follow(BackendServer& server)
{
    const auto name = server.name();
    server.onRequestStarted([this, name](const BackendRequest& request, TimePoint at) { addRun(name, request, at); });
    server.onOutput([this](const BackendResponse& response, ShardNumber shard) { addOutput(response, shard); });
    server.onReceivedWhileDraining([this, name](TimePoint at) { m_out << json::serialize(lineFor("receive", name, at)) << '\n'; });
}

void RunHistory::addDrain(const ServerName& server, TimePoint at)
{
    m_out << json::serialize(lineFor("drain", server, at)) << '\n';
}

void RunHistory::addRun(const ServerName& server, const BackendRequest& request, TimePoint at)
{
    auto line = lineFor("run", request.key);
    line["kind"] = nameOf(request.kind);
    line["server"] = server.value();
    line["shard"] = request.shard.value();
    line["body"] = request.body;
    line["version"] = request.version.value();
    line["epoch"] = request.epoch.value();
    line["at_us"] = at.time_since_epoch().count();
    m_out << json::serialize(line) << '\n';
}

void RunHistory::addOutput(const BackendResponse& response, ShardNumber shard)
{
    auto line = lineFor("output", response.key);
    line["shard"] = shard.value();
    line["version"] = response.version.value();
    line["epoch"] = response.epoch.value();
    json::array batches;
    for (const auto& it : response.batches)
        batches.emplace_back(it.value());
    line["batches"] = std::move(batches);
    m_out << json::serialize(line) << '\n';
}

}
