#include "base/listening_socket.h"

namespace lycheefield {

Result<Endpoint> listenOn(boost::asio::ip::tcp::acceptor& acceptor, const Endpoint& endpoint, const std::string& what)
{
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(endpoint.address, ec);
    if (ec)
        return Error { ErrorKind::InvalidInput, what + " must be an IP address, got '" + endpoint.address + "'", "use an IP address of this machine, such as 127.0.0.1" };
    const boost::asio::ip::tcp::endpoint local(address, endpoint.port);
    try {
        acceptor.open(local.protocol());
        acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        acceptor.bind(local);
        acceptor.listen();
    } catch (const boost::system::system_error& ex) {
        acceptor.close(ec);
        const bool mayWorkLater = ex.code() == boost::asio::error::address_in_use || ex.code() == boost::asio::error::no_descriptors;
        return Error { mayWorkLater ? ErrorKind::Unavailable : ErrorKind::InvalidInput, "cannot listen on " + endpoint.toString() + ": " + ex.what(), "choose a free port, or port 0 to let the kernel choose" };
    }
    return Endpoint { endpoint.address, acceptor.local_endpoint().port() };
}

}
