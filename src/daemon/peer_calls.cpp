#include "daemon/peer_calls.h"

#include <boost/asio/post.hpp>

namespace lycheefield {

namespace {

constexpr auto responseTimeout = std::chrono::seconds(2);

}

PeerCalls::PeerCalls(boost::asio::io_context& io, PeerNetwork& network, CallHandler serve)
    : m_strand(boost::asio::make_strand(io))
    , m_network(network)
    , m_onCall(std::move(serve))
{
}

void PeerCalls::call(const InstanceName& to, const std::string& verb, const std::string& argument, ResponseHandler handler)
{
    boost::asio::post(m_strand, [self = shared_from_this(), to, verb, argument, handler = std::move(handler)] {
        const auto sequence = ++self->m_lastSequence;
        auto timer = std::make_unique<boost::asio::steady_timer>(self->m_strand, responseTimeout);
        timer->async_wait([self, sequence](const boost::system::error_code& ec) {
            if (!ec)
                self->finish(sequence, std::nullopt);
        });
        self->m_pending.emplace(sequence, PendingCall { to, handler, std::move(timer) });
        self->m_network.send(to, Control { sequence, verb, argument, false, {} });
    });
}

void PeerCalls::onControl(const InstanceName& from, const Control& control)
{
    if (!control.isAnswer) {
        m_onCall(control.verb, control.argument, [self = shared_from_this(), from, sequence = control.sequence](std::string payload) {
            self->m_network.reply(from, Control { sequence, {}, {}, true, std::move(payload) });
        });
        return;
    }
    boost::asio::post(m_strand, [self = shared_from_this(), from, control] {
        const auto it = self->m_pending.find(control.sequence);
        if (it != self->m_pending.end() && it->second.peer == from)
            self->finish(control.sequence, control.payload);
    });
}

void PeerCalls::finish(std::uint64_t sequence, std::optional<std::string> payload)
{
    const auto it = m_pending.find(sequence);
    if (it == m_pending.end())
        return;
    const auto handler = std::move(it->second.handler);
    m_pending.erase(it);
    handler(std::move(payload));
}

}
