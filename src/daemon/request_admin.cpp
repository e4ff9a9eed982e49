#include "daemon/request_admin.h"

#include "daemon/packed_response.h"
#include "daemon/trace_tree.h"
#include "observe/trace_store.h"

#include <boost/json.hpp>

#include <optional>

namespace lycheefield {

namespace json = boost::json;

namespace {

std::string_view nameOf(RequestVerb verb)
{
    switch (verb) {
    case RequestVerb::Cancel:
        return "cancel";
    case RequestVerb::Explain:
        return "explain";
    case RequestVerb::Trace:
        return "trace";
    case RequestVerb::Tree:
        return "tree";
    }
    return "trace";
}

std::optional<RequestVerb> verbOf(const std::string& name)
{
    for (const auto verb : { RequestVerb::Cancel, RequestVerb::Explain, RequestVerb::Trace, RequestVerb::Tree }) {
        if (nameOf(verb) == name)
            return verb;
    }
    return std::nullopt;
}

HttpResponse textResponse(unsigned status, const std::string& text)
{
    return { status, "text/plain", text + "\n" };
}

HttpResponse notKept()
{
    return textResponse(404, "the instance that took this request keeps nothing of it any more");
}

}

RequestAdmin::RequestAdmin(InstanceName self, EntryDriver& entry, const RequestLog& log, const SharedTables& tables, PeerCalls& calls)
    : m_self(std::move(self))
    , m_entry(entry)
    , m_log(log)
    , m_tables(tables)
    , m_calls(calls)
{
}

void RequestAdmin::handle(RequestVerb verb, const RequestId& id, Done done)
{
    if (m_entry.isOurs(id)) {
        handleLocally(verb, id, done);
        return;
    }
    const auto view = m_tables.view.read();
    const auto* instance = view->findLife(id.life);
    if (!instance || instance->health == InstanceHealth::Gone) {
        done(textResponse(404, "the process that took this request is not running any more"));
        return;
    }
    m_calls.call(instance->name, std::string(nameOf(verb)), id.toString(), [done = std::move(done)](const std::optional<std::string>& payload) {
        done(payload ? unpackResponse(*payload) : textResponse(504, "the instance that took this request did not answer in time"));
    });
}

void RequestAdmin::onCall(const std::string& verb, const std::string& argument, const PeerCalls::Respond& respond)
{
    const auto known = verbOf(verb);
    const auto id = RequestId::parse(argument);
    if (!known || !id) {
        respond(packResponse(textResponse(400, "no such question")));
        return;
    }
    if (!m_entry.isOurs(*id)) {
        respond(packResponse(textResponse(404, "the process that took this request is not running any more")));
        return;
    }
    handleLocally(*known, *id, [respond](const HttpResponse& response) { respond(packResponse(response)); });
}

void RequestAdmin::handleLocally(RequestVerb verb, const RequestId& id, const Done& done)
{
    switch (verb) {
    case RequestVerb::Cancel:
        m_entry.cancel(id, false, [done](bool wasInFlight) { done(wasInFlight ? textResponse(202, "cancelled") : textResponse(404, "not in flight")); });
        return;
    case RequestVerb::Explain:
        done(explain(id));
        return;
    case RequestVerb::Trace:
        done(trace(id));
        return;
    case RequestVerb::Tree:
        done(tree(id));
        return;
    }
}

HttpResponse RequestAdmin::explain(const RequestId& id) const
{
    const auto explanation = m_log.explain(id);
    if (!explanation)
        return notKept();
    json::array lines;
    for (const auto& it : *explanation)
        lines.emplace_back(it);
    HttpResponse response;
    response.body = json::serialize(json::object { { "request", id.toString() }, { "instance", m_self.value() }, { "lines", std::move(lines) } });
    return response;
}

HttpResponse RequestAdmin::trace(const RequestId& id) const
{
    const auto trace = m_log.find(id);
    if (!trace)
        return notKept();
    HttpResponse response;
    response.body = toOtlpJson(*trace, m_self.value());
    return response;
}

HttpResponse RequestAdmin::tree(const RequestId& id) const
{
    const auto trace = m_log.find(id);
    return trace ? HttpResponse { 200, "text/plain", drawTrace(*trace) } : notKept();
}

}
