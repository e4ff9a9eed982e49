#pragma once

#include "base/endpoint.h"
#include "base/error.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace lycheefield {

/// Opens, binds and listens on the endpoint, and returns the endpoint with the bound port; for port 0
/// the kernel chooses a free port. The error is of kind Unavailable when a later call may succeed, as the port is in use or no
/// descriptor is free. On an error the acceptor is closed again. `what` names the address in an error message. Precondition: the acceptor is closed.
Result<Endpoint> listenOn(boost::asio::ip::tcp::acceptor&, const Endpoint&, const std::string& what);

}
