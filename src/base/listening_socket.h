#pragma once

#include "base/endpoint.h"
#include "base/error.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace lycheefield {

/// Opens, binds and listens; port 0 lets the kernel choose. The endpoint that comes back has the port
/// listened on. `what` names the address in an error. Precondition: the acceptor is closed.
Result<Endpoint> listenOn(boost::asio::ip::tcp::acceptor&, const Endpoint&, const std::string& what);

}
