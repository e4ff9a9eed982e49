#include "daemon/operator_api.h"

#include <boost/json.hpp>

namespace lycheefield {

namespace json = boost::json;

namespace {

constexpr std::string_view tracePrefix = "/traces/";
constexpr std::string_view requestPrefix = "/v1/requests/";

HttpResponse textResponse(unsigned status, std::string text)
{
    return { status, "text/plain", std::move(text) };
}

std::string_view nameOf(InstanceHealth health)
{
    switch (health) {
    case InstanceHealth::Alive:
        return "alive";
    case InstanceHealth::Suspect:
        return "suspect";
    case InstanceHealth::Leaving:
        return "leaving";
    case InstanceHealth::Gone:
        return "gone";
    }
    return "gone";
}

json::object toJson(const ControlStatus& status)
{
    return {
        { "bytes_sent", status.bytes.sent.value },
        { "bytes_received", status.bytes.received.value },
        { "probes", status.membership.probes },
        { "suspicions", status.membership.suspicions },
        { "refutations", status.membership.refutations },
        { "watches_rules", status.watchesRules },
        { "rules_accepted", status.rules.accepted },
        { "rules_lower_refused", status.rules.lowerRefused },
        { "rules_malformed", status.rules.malformed },
    };
}

}

bool OperatorPaths::handle(const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange)
{
    const auto path = request.path();
    const bool isGet = request.method == "GET";
    if (path == "/healthz" && isGet) {
        exchange->respond(textResponse(200, "ok\n"));
    } else if (path == "/readyz" && isGet) {
        exchange->respond(ready());
    } else if (path == "/metrics" && isGet) {
        exchange->respond({ 200, "text/plain; version=0.0.4", m_parts.metrics.render() });
    } else if (path == "/status" && isGet) {
        exchange->respond(status());
    } else if (path.starts_with(tracePrefix) && isGet) {
        const bool isTree = request.target.ends_with("?format=tree");
        handleRequestVerb(isTree ? RequestVerb::Tree : RequestVerb::Trace, path.substr(tracePrefix.size()), exchange);
    } else if (path.starts_with(requestPrefix) && isGet) {
        handleRequestVerb(RequestVerb::Explain, path.substr(requestPrefix.size()), exchange);
    } else if (path.starts_with(requestPrefix) && request.method == "DELETE") {
        handleRequestVerb(RequestVerb::Cancel, path.substr(requestPrefix.size()), exchange);
    } else {
        return false;
    }
    return true;
}

HttpResponse OperatorPaths::ready() const
{
    const auto readiness = m_parts.readiness();
    return textResponse(readiness.isReady ? 200 : 503, (readiness.isReady ? "ready" : readiness.reason) + "\n");
}

void OperatorPaths::handleRequestVerb(RequestVerb verb, std::string_view text, const std::shared_ptr<HttpExchange>& exchange)
{
    const auto id = RequestId::parse(text);
    if (!id) {
        exchange->respond(textResponse(400, "a request id has 32 hexadecimal digits\n"));
        return;
    }
    m_parts.requestAdmin.handle(verb, *id, [exchange](HttpResponse response) { exchange->respond(std::move(response)); });
}

HttpResponse OperatorPaths::status() const
{
    const auto view = m_parts.tables.view.read();
    const auto shards = m_parts.tables.shards.read();
    const auto ownership = m_parts.tables.ownership.read();
    const auto readiness = m_parts.readiness();
    json::object instances;
    for (const auto& [name, instance] : view->instances())
        instances[name.value()] = { { "health", nameOf(instance.health) }, { "zone", instance.zone.value() }, { "inner", instance.inner.toString() }, { "http", instance.http.toString() } };
    json::array owned;
    for (const auto& [server, block] : ownership->blocks()) {
        const auto* owners = ownership->ownersOf(server);
        if (owners && owners->owner == m_parts.self)
            owned.emplace_back(server.value());
    }
    const json::object body {
        { "instance", m_parts.self.value() },
        { "ready", readiness.isReady },
        { "reason", readiness.reason },
        { "rules", m_parts.tables.rules.read()->revision().value() },
        { "services", shards->services().size() },
        { "servers", shards->servers().size() },
        { "requests_in_flight", m_parts.entry.inFlight() },
        { "legs_in_flight", m_parts.relay.inFlight() },
        { "owned_servers", std::move(owned) },
        { "instances", std::move(instances) },
        { "control", toJson(m_parts.control()) },
    };
    HttpResponse response;
    response.body = json::serialize(body);
    return response;
}

}
