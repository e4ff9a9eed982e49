#pragma once

#include "base/clock.h"
#include "standin/delay_line.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace lycheefield::standin {

/// A link between availability zones: an HTTP CONNECT proxy that forwards bytes after a delay.
///
/// `GET /standin/set?delay-us=N&retransmit=P&retransmit-us=N&cut-out=0|1&cut-back=0|1` changes the link
/// while it runs; `cut-out` is the direction from the connecting side. Runs on the io_context's one thread.
class LinkServer : public std::enable_shared_from_this<LinkServer> {
public:
    LinkServer(boost::asio::io_context&, LinkBehaviour, std::uint64_t seed, const Clock&);

    void listen(const std::string& address);
    std::uint16_t port() const;

    const LinkBehaviour& outward() const { return m_outward; }
    const LinkBehaviour& backward() const { return m_backward; }
    TimePoint now() const { return m_clock.now(); }
    std::uint64_t nextSeed() { return ++m_seed; }
    /// Applies the query part of a /standin/set call.
    void applySettings(const std::string& target);

private:
    void accept();

    boost::asio::io_context& m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    LinkBehaviour m_outward;
    LinkBehaviour m_backward;
    std::uint64_t m_seed;
    const Clock& m_clock;
};

}
