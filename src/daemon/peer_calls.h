#pragma once

#include "base/ids.h"
#include "daemon/strand.h"
#include "wire/peer_network.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lycheefield {

/// Calls to other instances with a time-out, and the calls of other instances to this one. Thread safe.
class PeerCalls : public std::enable_shared_from_this<PeerCalls> {
public:
    /// Receives the response; empty when none arrived before the time-out.
    using ResponseHandler = std::function<void(std::optional<std::string>)>;
    using Respond = std::function<void(std::string)>;
    /// Handles a call of a peer; may respond at once or later.
    using CallHandler = std::function<void(const std::string& verb, const std::string& argument, Respond)>;

    /// Precondition: the network outlives the calls.
    PeerCalls(boost::asio::io_context&, PeerNetwork&, CallHandler);

    void call(const InstanceName& to, const std::string& verb, const std::string& argument, ResponseHandler);
    /// Handles a call or a response from a peer.
    void onControl(const InstanceName& from, const Control&);

private:
    struct PendingCall {
        InstanceName peer;
        ResponseHandler handler;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    void finish(std::uint64_t sequence, std::optional<std::string>);

    Strand m_strand;
    PeerNetwork& m_network;
    CallHandler m_onCall;
    std::map<std::uint64_t, PendingCall> m_pending;
    std::uint64_t m_lastSequence = 0;
};

}
