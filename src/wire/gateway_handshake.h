#pragma once

#include "base/endpoint.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace lycheefield {

/// Asks the gateway at the other end of the socket to pass the connection on to the peer.
///
/// The handler runs once on the socket's executor; afterwards the socket speaks to the peer itself.
/// Preconditions: the socket is connected, and lives until the handler runs.
void askGateway(boost::asio::ip::tcp::socket&, const Endpoint& peer, std::function<void(const boost::system::error_code&)>);

}
