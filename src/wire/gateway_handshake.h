#pragma once

#include "base/endpoint.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace lycheefield {

/// Requests a tunnel to the peer from the gateway at the other end of the socket, by HTTP CONNECT.
///
/// The handler runs once on the socket's executor. After success the socket is connected to the peer;
/// a refusal is connection_refused, a response above the size limit is message_size.
/// Preconditions: the socket is connected, and lives until the handler runs.
void openGatewayTunnel(boost::asio::ip::tcp::socket&, const Endpoint& peer, std::function<void(const boost::system::error_code&)>);

}
