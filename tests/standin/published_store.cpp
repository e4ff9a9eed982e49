#include "published_store.h"

#include <boost/asio/post.hpp>
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

/// The header that names the epoch.
constexpr const char* epochHeader = "Store-Era";

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
{
}

Result<Endpoint> PublishedStoreServer::listen()
{
    return listenFor([](const std::string&, const std::string&, const std::string& spec) { return spec; });
}

Result<Endpoint> PublishedStoreServer::listenFor(Rewrite rewrite)
{
    m_listeners.push_back(std::make_unique<Listener>(*this, std::move(rewrite)));
    return open(*m_listeners.back());
}

Result<Endpoint> PublishedStoreServer::open(Listener& listener)
{
    listener.server = std::make_unique<HttpServer>(m_io, listener, std::make_shared<SteadyClock>(), std::make_shared<HttpServerCounters>());
    auto bound = listener.server->listen(listener.endpoint);
    if (bound)
        listener.endpoint = bound.value();
    return bound;
}

void PublishedStoreServer::reopen(Listener& listener)
{
    // The previous server gives the port back on a later turn of the io_context.
    boost::asio::post(m_io, [this, &listener] {
        if (!open(listener))
            reopen(listener);
    });
}

void PublishedStoreServer::restoreCopy()
{
    m_state = m_copy;
    ++m_epoch;
    for (const auto& it : m_listeners) {
        it->server->close();
        reopen(*it);
    }
    m_watches.clear();
    m_unanswered.clear();
}

void PublishedStoreServer::recordChange(Event event)
{
    m_state.events.push_back(std::move(event));
    auto watches = std::move(m_watches);
    m_watches.clear();
    for (auto& it : watches) {
        if (hasEvents(it.kind, it.after))
            respond(*it.exchange, eventsAfter(*it.listener, it.kind, it.after));
        else
            m_watches.push_back(std::move(it));
    }
}

void PublishedStoreServer::put(const std::string& kind, const std::string& name, const std::string& spec)
{
    const Object object { spec, ++m_state.revision };
    m_state.objects[kind][name] = object;
    recordChange({ kind, name, object, false });
}

void PublishedStoreServer::remove(const std::string& kind, const std::string& name)
{
    const auto spec = m_state.objects[kind][name].spec;
    m_state.objects[kind].erase(name);
    recordChange({ kind, name, { spec, ++m_state.revision }, true });
}

void PublishedStoreServer::forgetHistory()
{
    m_state.historyStart = ++m_state.revision;
    m_state.events.clear();
    auto watches = std::move(m_watches);
    m_watches.clear();
    for (const auto& it : watches)
        respond(*it.exchange, { 410, "application/json", "{}" });
}

bool PublishedStoreServer::hasEvents(const std::string& kind, std::uint64_t after) const
{
    return std::any_of(m_state.events.begin(), m_state.events.end(), [&](const Event& it) { return it.kind == kind && it.object.revision > after; });
}

HttpResponse PublishedStoreServer::eventsAfter(const Listener& listener, const std::string& kind, std::uint64_t after) const
{
    std::string events;
    for (const auto& it : m_state.events) {
        if (it.kind != kind || it.object.revision <= after)
            continue;
        const auto object = objectText(it.name, listener.rewrite(kind, it.name, it.object.spec), it.object.revision);
        events.append(events.empty() ? "" : ",").append("{\"deleted\":").append(it.isDeleted ? "true" : "false").append(",\"object\":" + object + "}");
    }
    return { 200, "application/json", "{\"events\":[" + events + "],\"atRev\":" + std::to_string(m_state.revision) + "}" };
}

HttpResponse PublishedStoreServer::list(const Listener& listener, const std::string& kind, const std::string& after) const
{
    std::string items;
    std::size_t n = 0;
    bool hasMore = false;
    const auto objects = m_state.objects.find(kind);
    if (objects != m_state.objects.end()) {
        for (auto it = objects->second.upper_bound(after); it != objects->second.end(); ++it) {
            hasMore = n == m_faults.pageSize;
            if (hasMore)
                break;
            items.append(n++ ? "," : "").append(objectText(it->first, listener.rewrite(kind, it->first, it->second.spec), it->second.revision));
        }
    }
    return { 200, "application/json", "{\"items\":[" + items + "],\"hasMore\":" + (hasMore ? "true" : "false") + ",\"atRev\":" + std::to_string(m_state.revision) + "}" };
}

bool PublishedStoreServer::contains(const std::string& kind, const std::string& name) const
{
    const auto objects = m_state.objects.find(kind);
    return objects != m_state.objects.end() && objects->second.contains(name);
}

HttpResponse PublishedStoreServer::read(const Listener& listener, const std::string& kind, const std::string& name) const
{
    if (!contains(kind, name))
        return { 404, "application/json", "{}" };
    const auto& object = m_state.objects.at(kind).at(name);
    return { 200, "application/json", objectText(name, listener.rewrite(kind, name, object.spec), object.revision) };
}

HttpResponse PublishedStoreServer::write(const Listener& listener, const HttpRequest& request, const std::string& kind)
{
    const auto body = json::parse(request.body).as_object();
    const auto& meta = body.at("meta").as_object();
    const std::string name(meta.at("name").as_string());
    auto& objects = m_state.objects[kind];
    const auto existing = objects.find(name);
    const bool isNew = request.method == "POST";
    const bool conflicts = existing != objects.end() && (isNew || (meta.contains("revision") && meta.at("revision").to_number<std::uint64_t>() != existing->second.revision));
    if (conflicts)
        return { 409, "application/json", objectText(name, listener.rewrite(kind, name, existing->second.spec), existing->second.revision) };
    if (!isNew && existing == objects.end())
        return { 404, "application/json", "{}" };
    put(kind, name, json::serialize(body.at("spec")));
    return { 200, "application/json", objectText(name, listener.rewrite(kind, name, objects.at(name).spec), m_state.revision) };
}

HttpResponse PublishedStoreServer::handleRemoval(const Listener& listener, const std::string& kind, const std::string& name, const std::string& revision)
{
    if (!contains(kind, name))
        return { 404, "application/json", "{}" };
    const auto object = m_state.objects.at(kind).at(name);
    if (!revision.empty() && std::to_string(object.revision) != revision)
        return { 409, "application/json", objectText(name, listener.rewrite(kind, name, object.spec), object.revision) };
    remove(kind, name);
    return { 200, "application/json", "{}" };
}

void PublishedStoreServer::respond(HttpExchange& exchange, HttpResponse response) const
{
    if (m_namesEpoch)
        response.headers.add(epochHeader, std::to_string(m_epoch));
    exchange.respond(std::move(response));
}

void PublishedStoreServer::watch(const Listener& listener, const std::string& kind, std::uint64_t after, std::int64_t waitMs, std::shared_ptr<HttpExchange> exchange)
{
    if (after < m_state.historyStart || after > m_state.revision)
        return respond(*exchange, { 410, "application/json", "{}" });
    if (hasEvents(kind, after))
        return respond(*exchange, eventsAfter(listener, kind, after));
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, std::chrono::milliseconds(waitMs));
    timer->async_wait([this, &listener, exchange, kind, after](const boost::system::error_code& ec) {
        if (ec)
            return;
        std::erase_if(m_watches, [&](const Watch& it) { return it.exchange == exchange; });
        respond(*exchange, eventsAfter(listener, kind, after));
    });
    m_watches.push_back({ &listener, kind, after, std::move(exchange), std::move(timer) });
}

void PublishedStoreServer::handle(const Listener& listener, const HttpRequest& request, std::shared_ptr<HttpExchange> exchange)
{
    ++m_calls;
    if (m_faults.isSilent) {
        m_unanswered.push_back(std::move(exchange));
        return;
    }
    if (m_faults.isBusy)
        return respond(*exchange, { 503, "application/json", "{}" });
    if (!m_faults.rubbish.empty())
        return respond(*exchange, { 200, "application/json", m_faults.rubbish });
    const std::string root = "/objects/";
    const std::string path(request.path());
    if (!path.starts_with(root))
        return respond(*exchange, { 404, "application/json", "{}" });
    const auto rest = path.substr(root.size());
    const auto kind = rest.substr(0, rest.find('/'));
    if (request.method == "DELETE")
        return respond(*exchange, handleRemoval(listener, kind, rest.substr(std::min(rest.size(), kind.size() + 1)), queryValue(request.target, "revision")));
    if (request.method != "GET")
        return respond(*exchange, write(listener, request, kind));
    if (kind.size() < rest.size())
        return respond(*exchange, read(listener, kind, rest.substr(kind.size() + 1)));
    const auto after = queryValue(request.target, "watch");
    if (!after.empty())
        return watch(listener, kind, std::stoull(after), std::stoll(queryValue(request.target, "waitMs")), std::move(exchange));
    respond(*exchange, list(listener, kind, queryValue(request.target, "after")));
}

}
