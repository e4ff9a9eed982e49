#include "base/listening_socket.h"

namespace lycheefield {

Result<Endpoint> listenOn(boost::asio::ip::tcp::acceptor& acceptor, const Endpoint& endpoint, const std::string& what)
{
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(endpoint.address, ec);
    if (ec)
        return Error { ErrorKind::InvalidInput, what + " " + endpoint.address + " is no IP number", "give an IP number" };
    const boost::asio::ip::tcp::endpoint local(address, endpoint.port);
    try {
        acceptor.open(local.protocol());
        acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        acceptor.bind(local);
        acceptor.listen();
    } catch (const boost::system::system_error& ex) {
        return Error { ErrorKind::Unavailable, "can't listen on " + endpoint.toString() + ": " + ex.what(), "choose a free port, or 0" };
    }
    return Endpoint { endpoint.address, acceptor.local_endpoint().port() };
}

}
