#include "published_store.h"

#include <boost/json.hpp>

#include <algorithm>

namespace lycheefield::standin {

namespace {

namespace json = boost::json;

std::string objectText(const std::string& name, const std::string& spec, std::uint64_t revision)
{
    return "{\"meta\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(revision)
        + ",\"createdRev\":1,\"finalizers\":[],\"deletionPending\":false},\"spec\":" + spec + ",\"status\":null}";
}

std::string queryValue(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

}

PublishedStoreServer::PublishedStoreServer(boost::asio::io_context& io)
    : m_io(io)
    , m_server(io, *this, std::make_shared<SteadyClock>(), std::make_shared<HttpServerCounters>())
{
}

Result<Endpoint> PublishedStoreServer::listen()
{
    return m_server.listen({ "127.0.0.1", 0 });
}

void PublishedStoreServer::recordChange(const std::string& kind, const std::string& name, const std::string& object, bool isDeleted)
{
    m_events.push_back({ m_revision, kind, std::string("{\"deleted\":") + (isDeleted ? "true" : "false") + ",\"object\":" + object + "}" });
    auto watches = std::move(m_watches);
    m_watches.clear();
    for (auto& it : watches) {
        if (hasEvents(it.kind, it.after))
            it.exchange->respond(eventsAfter(it.kind, it.after));
        else
            m_watches.push_back(std::move(it));
    }
}

void PublishedStoreServer::put(const std::string& kind, const std::string& name, const std::string& spec)
{
    m_objects[kind][name] = { spec, ++m_revision };
    recordChange(kind, name, objectText(name, spec, m_revision), false);
}

void PublishedStoreServer::remove(const std::string& kind, const std::string& name)
{
    const auto spec = m_objects[kind][name].spec;
    m_objects[kind].erase(name);
    ++m_revision;
    recordChange(kind, name, objectText(name, spec, m_revision), true);
}

void PublishedStoreServer::forgetHistory()
{
    m_historyStart = ++m_revision;
    m_events.clear();
    auto watches = std::move(m_watches);
    m_watches.clear();
    for (const auto& it : watches)
        it.exchange->respond({ 410, "application/json", "{}" });
}

bool PublishedStoreServer::hasEvents(const std::string& kind, std::uint64_t after) const
{
    return std::any_of(m_events.begin(), m_events.end(), [&](const Event& it) { return it.kind == kind && it.revision > after; });
}

HttpResponse PublishedStoreServer::eventsAfter(const std::string& kind, std::uint64_t after) const
{
    std::string events;
    for (const auto& it : m_events) {
        if (it.kind == kind && it.revision > after)
            events.append(events.empty() ? "" : ",").append(it.body);
    }
    return { 200, "application/json", "{\"events\":[" + events + "],\"atRev\":" + std::to_string(m_revision) + "}" };
}

HttpResponse PublishedStoreServer::list(const std::string& kind, const std::string& after) const
{
    std::string items;
    std::size_t n = 0;
    bool hasMore = false;
    const auto objects = m_objects.find(kind);
    if (objects != m_objects.end()) {
        for (auto it = objects->second.upper_bound(after); it != objects->second.end(); ++it) {
            hasMore = n == m_faults.pageSize;
            if (hasMore)
                break;
            items.append(n++ ? "," : "").append(objectText(it->first, it->second.spec, it->second.revision));
        }
    }
    return { 200, "application/json", "{\"items\":[" + items + "],\"hasMore\":" + (hasMore ? "true" : "false") + ",\"atRev\":" + std::to_string(m_revision) + "}" };
}

bool PublishedStoreServer::contains(const std::string& kind, const std::string& name) const
{
    const auto objects = m_objects.find(kind);
    return objects != m_objects.end() && objects->second.contains(name);
}

HttpResponse PublishedStoreServer::read(const std::string& kind, const std::string& name) const
{
    if (!contains(kind, name))
        return { 404, "application/json", "{}" };
    const auto& object = m_objects.at(kind).at(name);
    return { 200, "application/json", objectText(name, object.spec, object.revision) };
}

HttpResponse PublishedStoreServer::write(const HttpRequest& request, const std::string& kind)
{
    const auto body = json::parse(request.body).as_object();
    const auto& meta = body.at("meta").as_object();
    const std::string name(meta.at("name").as_string());
    auto& objects = m_objects[kind];
    const auto existing = objects.find(name);
    const bool isNew = request.method == "POST";
    const bool conflicts = existing != objects.end() && (isNew || (meta.contains("revision") && meta.at("revision").to_number<std::uint64_t>() != existing->second.revision));
    if (conflicts)
        return { 409, "application/json", objectText(name, existing->second.spec, existing->second.revision) };
    if (!isNew && existing == objects.end())
        return { 404, "application/json", "{}" };
    put(kind, name, json::serialize(body.at("spec")));
    return { 200, "application/json", objectText(name, objects.at(name).spec, m_revision) };
}

void PublishedStoreServer::watch(const std::string& kind, std::uint64_t after, std::int64_t waitMs, std::shared_ptr<HttpExchange> exchange)
{
    if (after < m_historyStart)
        return exchange->respond({ 410, "application/json", "{}" });
    if (hasEvents(kind, after))
        return exchange->respond(eventsAfter(kind, after));
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, std::chrono::milliseconds(waitMs));
    timer->async_wait([this, exchange, kind, after](const boost::system::error_code&) {
        std::erase_if(m_watches, [&](const Watch& it) { return it.exchange == exchange; });
        exchange->respond(eventsAfter(kind, after));
    });
    m_watches.push_back({ kind, after, exchange, timer });
}

void PublishedStoreServer::handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    ++m_calls;
    if (m_faults.isSilent) {
        m_unanswered.push_back(std::move(exchange));
        return;
    }
    if (m_faults.isBusy)
        return exchange->respond({ 503, "application/json", "{}" });
    if (!m_faults.rubbish.empty())
        return exchange->respond({ 200, "application/json", m_faults.rubbish });
    const std::string root = "/objects/";
    const std::string path(request.path());
    if (!path.starts_with(root))
        return exchange->respond({ 404, "application/json", "{}" });
    const auto rest = path.substr(root.size());
    const auto kind = rest.substr(0, rest.find('/'));
    if (request.method != "GET")
        return exchange->respond(write(request, kind));
    if (kind.size() < rest.size())
        return exchange->respond(read(kind, rest.substr(kind.size() + 1)));
    const auto after = queryValue(request.target, "watch");
    if (!after.empty())
        return watch(kind, std::stoull(after), std::stoll(queryValue(request.target, "waitMs")), std::move(exchange));
    exchange->respond(list(kind, queryValue(request.target, "after")));
}

}
