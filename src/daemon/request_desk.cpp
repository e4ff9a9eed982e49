#include "daemon/request_desk.h"

#include "daemon/trace_tree.h"
#include "observe/trace_store.h"

#include <boost/json.hpp>

#include <charconv>
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

HttpResponse textReply(unsigned status, const std::string& text)
{
    return { status, "text/plain", text + "\n" };
}

HttpResponse notKept()
{
    return textReply(404, "the instance that took this request keeps nothing of it any more");
}

/// A reply as the payload of a peer's answer: the status, a blank, the body.
std::string pack(const HttpResponse& reply)
{
    return std::to_string(reply.status) + " " + reply.body;
}

HttpResponse unpack(const std::string& payload)
{
    unsigned status = 0;
    const auto [end, ec] = std::from_chars(payload.data(), payload.data() + payload.size(), status);
    if (ec != std::errc() || end == payload.data() + payload.size() || *end != ' ')
        return textReply(502, "the instance that took this request gave no answer that can be read");
    const auto body = payload.substr(static_cast<std::size_t>(end - payload.data()) + 1);
    const bool isJson = !body.empty() && body.front() == '{';
    return { status, isJson ? "application/json" : "text/plain", body };
}

}

RequestDesk::RequestDesk(InstanceName self, EntryDriver& entry, const RequestLog& log, const SharedTables& tables, PeerCalls& calls)
    : m_self(std::move(self))
    , m_entry(entry)
    , m_log(log)
    , m_tables(tables)
    , m_calls(calls)
{
}

void RequestDesk::ask(RequestVerb verb, const RequestId& id, Done done)
{
    if (m_entry.isOurs(id)) {
        answerHere(verb, id, done);
        return;
    }
    const auto view = m_tables.view.read();
    const auto* instance = view->findLife(id.life);
    if (!instance || instance->health == InstanceHealth::Gone) {
        done(textReply(404, "the process that took this request is not running any more"));
        return;
    }
    m_calls.call(instance->name, std::string(nameOf(verb)), id.toString(), [done = std::move(done)](const std::optional<std::string>& payload) {
        done(payload ? unpack(*payload) : textReply(504, "the instance that took this request did not answer in time"));
    });
}

void RequestDesk::onCall(const std::string& verb, const std::string& argument, const PeerCalls::Respond& respond)
{
    const auto known = verbOf(verb);
    const auto id = RequestId::parse(argument);
    if (!known || !id) {
        respond(pack(textReply(400, "no such question")));
        return;
    }
    if (!m_entry.isOurs(*id)) {
        respond(pack(textReply(404, "the process that took this request is not running any more")));
        return;
    }
    answerHere(*known, *id, [respond](const HttpResponse& reply) { respond(pack(reply)); });
}

void RequestDesk::answerHere(RequestVerb verb, const RequestId& id, const Done& done)
{
    switch (verb) {
    case RequestVerb::Cancel:
        m_entry.cancel(id, false, [done](bool wasHere) { done(wasHere ? textReply(202, "cancelled") : textReply(404, "not in flight")); });
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

HttpResponse RequestDesk::explain(const RequestId& id) const
{
    const auto story = m_log.explain(id);
    if (!story)
        return notKept();
    json::array lines;
    for (const auto& it : *story)
        lines.emplace_back(it);
    HttpResponse reply;
    reply.body = json::serialize(json::object { { "request", id.toString() }, { "instance", m_self.value() }, { "lines", std::move(lines) } });
    return reply;
}

HttpResponse RequestDesk::trace(const RequestId& id) const
{
    const auto trace = m_log.find(id);
    if (!trace)
        return notKept();
    HttpResponse reply;
    reply.body = toOtlpJson(*trace, m_self.value());
    return reply;
}

HttpResponse RequestDesk::tree(const RequestId& id) const
{
    const auto trace = m_log.find(id);
    return trace ? HttpResponse { 200, "text/plain", drawTrace(*trace) } : notKept();
}

}
