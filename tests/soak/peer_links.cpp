#include "peer_links.h"

#include "base/endpoint_text.h"

#include <boost/json.hpp>

namespace lycheefield::soak {

PeerLinks::PeerLinks(boost::asio::io_context& io)
    : m_io(io)
{
}

std::string PeerLinks::entryFor(const std::string& from, const std::string& to, const std::string& spec)
{
    if (from == to)
        return spec;
    auto entry = boost::json::parse(spec).as_object();
    auto& inner = entry.at("inner");
    const auto target = parseEndpoint(inner.as_string());
    if (!target)
        return spec;
    inner = linkTo({ from, to }, target.value()).endpoint().toString();
    return boost::json::serialize(entry);
}

FaultLink& PeerLinks::linkTo(const Pair& pair, const Endpoint& target)
{
    auto& link = m_links[pair][target];
    if (!link) {
        link = std::make_unique<FaultLink>(m_io, target);
        link->setFaults(m_faults[pair]);
    }
    return *link;
}

void PeerLinks::setFaults(const std::string& from, const std::string& to, const LinkFaults& faults)
{
    m_faults[{ from, to }] = faults;
    for (const auto& [target, link] : m_links[{ from, to }])
        link->setFaults(faults);
}

void PeerLinks::reset(const std::string& from, const std::string& to)
{
    for (const auto& [target, link] : m_links[{ from, to }])
        link->reset();
}

void PeerLinks::clearFaults()
{
    for (const auto& [pair, links] : m_links)
        setFaults(pair.first, pair.second, {});
}

}
