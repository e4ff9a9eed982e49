#include "load/call_history.h"

#include <boost/json.hpp>

namespace lycheefield {

namespace {

std::string_view nameOf(RequestKind kind)
{
    if (kind == RequestKind::Order)
        return "order";
    return kind == RequestKind::Record ? "record" : "search";
}

std::int64_t microseconds(TimePoint time)
{
    return time.time_since_epoch().count();
}

}

CallHistory::CallHistory(const std::string& path)
    : m_path(path)
{
    if (!path.empty())
        m_out.open(path);
}

void CallHistory::add(const ObservedCall& call)
{
    if (m_path.empty())
        return;
    const auto kind = nameOf(call.kind);
    boost::json::object line {
        { "type", "call" },
        { "target", call.target.toString() },
        { "kind", boost::json::string_view(kind.data(), kind.size()) },
        { "key", call.key },
        { "body", call.body },
        { "sent_us", microseconds(call.sent) },
        { "deadline_us", microseconds(call.deadline) },
    };
    if (call.answer.arrived) {
        line["answered_us"] = microseconds(call.answered);
        line["status"] = call.answer.status;
        line["request"] = call.answer.requestId;
        line["answer"] = call.answer.body;
    }
    m_out << boost::json::serialize(line) << '\n';
}

bool CallHistory::close()
{
    if (m_path.empty())
        return true;
    m_out.close();
    return !m_out.fail();
}

}
