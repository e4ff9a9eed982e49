#include "support/fault_link.h"

#include "base/clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <set>
#include <utility>

namespace lycheefield {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t readBytes = 16U * 1024;
/// Of one direction; more is read once some has been written.
constexpr std::size_t maxBytesUnderWay = 16U * 1024 * 1024;
constexpr Duration blockCheckPeriod = std::chrono::milliseconds(20);

}

class FaultLink::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& io, Endpoint target, std::string ownAddress)
        : m_io(io)
        , m_target(std::move(target))
        , m_ownAddress(std::move(ownAddress))
        , m_reservedPort(io, tcp::v4())
        , m_acceptor(io)
    {
        m_reservedPort.set_option(tcp::acceptor::reuse_address(true));
        m_reservedPort.bind({ asio::ip::address_v4::loopback(), 0 });
        own = { "127.0.0.1", m_reservedPort.local_endpoint().port() };
        listen();
    }

    /// Bytes that were read and are to be written at that time.
    struct Piece {
        TimePoint due;
        std::string bytes;
    };
    /// One direction of a tunnel.
    struct Lane {
        explicit Lane(asio::io_context& io)
            : timer(io)
        {
        }
        asio::steady_timer timer;
        std::array<char, readBytes> buf {};
        std::deque<Piece> pieces; ///< The first one may be being written.
        std::size_t bytes = 0;
        bool isReading = false;
        bool isWriting = false;
        bool isEnded = false; ///< The source has closed the connection.
    };

    struct Tunnel : std::enable_shared_from_this<Tunnel> {
        Tunnel(std::shared_ptr<Impl> link, tcp::socket accepted)
            : owner(std::move(link))
            , client(std::move(accepted))
            , server(owner->m_io)
            , forward(owner->m_io)
            , backward(owner->m_io)
        {
        }
        std::shared_ptr<Impl> owner;
        tcp::socket client;
        tcp::socket server;
        Lane forward;
        Lane backward;
        bool isStalled = false;

        Lane& lane(bool isForward) { return isForward ? forward : backward; }
        tcp::socket& source(bool isForward) { return isForward ? client : server; }
        tcp::socket& destination(bool isForward) { return isForward ? server : client; }
        bool isBlocked(bool isForward) const { return isStalled || (isForward ? owner->faults.blocksForward : owner->faults.blocksBackward); }

        void end()
        {
            boost::system::error_code ec;
            for (auto* socket : { &client, &server }) {
                socket->set_option(asio::socket_base::linger(true, 0), ec);
                socket->close(ec);
            }
            forward.timer.cancel();
            backward.timer.cancel();
            owner->m_tunnels.erase(shared_from_this());
        }
    };

    void listen()
    {
        m_acceptor.open(tcp::v4());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind({ asio::ip::address_v4::loopback(), own.port });
        m_acceptor.listen();
    }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](const boost::system::error_code& ec, tcp::socket socket) {
            if (ec)
                return;
            auto tunnel = std::make_shared<Tunnel>(self, std::move(socket));
            self->m_tunnels.insert(tunnel);
            if (self->faults.refusesConnections)
                tunnel->end();
            else
                connect(tunnel);
            self->accept();
        });
    }

    static void connect(const std::shared_ptr<Tunnel>& tunnel)
    {
        const auto& ownAddress = tunnel->owner->m_ownAddress;
        boost::system::error_code bindError;
        tunnel->server.open(tcp::v4(), bindError);
        if (!ownAddress.empty())
            tunnel->server.bind({ asio::ip::make_address(ownAddress), 0 }, bindError);
        tunnel->server.async_connect({ asio::ip::make_address(tunnel->owner->m_target.address), tunnel->owner->m_target.port }, [tunnel](const boost::system::error_code& ec) {
            if (ec)
                return tunnel->end();
            boost::system::error_code ignored;
            tunnel->client.set_option(tcp::no_delay(true), ignored);
            tunnel->server.set_option(tcp::no_delay(true), ignored);
            pump(tunnel, true);
            pump(tunnel, false);
        });
    }

    static void pump(const std::shared_ptr<Tunnel>& tunnel, bool isForward)
    {
        auto& lane = tunnel->lane(isForward);
        const bool readsAhead = tunnel->owner->faults.delay > Duration {} && !tunnel->isBlocked(isForward);
        const bool hasRoom = lane.pieces.empty() || (readsAhead && lane.bytes < maxBytesUnderWay);
        if (lane.isReading || lane.isEnded || !hasRoom)
            return;
        lane.isReading = true;
        tunnel->source(isForward).async_read_some(asio::buffer(lane.buf), [tunnel, isForward, &lane](const boost::system::error_code& ec, std::size_t n) {
            lane.isReading = false;
            lane.isEnded = static_cast<bool>(ec);
            if (n > 0)
                lane.pieces.push_back({ tunnel->owner->dueAfter(lane), std::string(lane.buf.data(), n) });
            lane.bytes += n;
            pump(tunnel, isForward);
            flush(tunnel, isForward);
        });
    }

    static void flush(const std::shared_ptr<Tunnel>& tunnel, bool isForward)
    {
        auto& lane = tunnel->lane(isForward);
        if (lane.isWriting || !tunnel->client.is_open())
            return;
        if (lane.pieces.empty())
            return lane.isEnded ? tunnel->end() : void();
        const auto now = tunnel->owner->m_clock.now();
        if (tunnel->isBlocked(isForward))
            return flushAfter(tunnel, isForward, blockCheckPeriod);
        if (lane.pieces.front().due > now)
            return flushAfter(tunnel, isForward, lane.pieces.front().due - now);
        lane.isWriting = true;
        asio::async_write(tunnel->destination(isForward), asio::buffer(lane.pieces.front().bytes), [tunnel, isForward, &lane](const boost::system::error_code& ec, std::size_t n) {
            if (ec)
                return tunnel->end();
            lane.isWriting = false;
            lane.bytes -= n;
            lane.pieces.pop_front();
            pump(tunnel, isForward);
            flush(tunnel, isForward);
        });
    }

    static void flushAfter(const std::shared_ptr<Tunnel>& tunnel, bool isForward, Duration pause)
    {
        auto& timer = tunnel->lane(isForward).timer;
        timer.expires_after(pause);
        timer.async_wait([tunnel, isForward](const boost::system::error_code& ec) {
            if (!ec)
                flush(tunnel, isForward);
        });
    }

    /// Returns when bytes that arrive now are due; not before those that arrived earlier.
    TimePoint dueAfter(const Lane& lane) const
    {
        const auto due = m_clock.now() + faults.delay;
        return lane.pieces.empty() ? due : std::max(due, lane.pieces.back().due);
    }

    const Endpoint& target() const { return m_target; }

    void stop()
    {
        boost::system::error_code ec;
        m_reservedPort.close(ec);
        m_acceptor.close(ec);
        resetAll();
    }

    void resetAll()
    {
        const auto tunnels = m_tunnels;
        for (const auto& it : tunnels)
            it->end();
    }

    void crash(Duration downTime)
    {
        boost::system::error_code ec;
        m_acceptor.close(ec);
        resetAll();
        auto timer = std::make_shared<asio::steady_timer>(m_io, downTime);
        timer->async_wait([self = shared_from_this(), timer](const boost::system::error_code&) {
            const bool isStopped = !self->m_reservedPort.is_open();
            if (isStopped || self->m_acceptor.is_open())
                return;
            self->listen();
            self->accept();
        });
    }

    void stallAll()
    {
        for (const auto& it : m_tunnels)
            it->isStalled = true;
    }

    Endpoint own;
    LinkFaults faults;

private:
    asio::io_context& m_io;
    Endpoint m_target;
    std::string m_ownAddress;
    SteadyClock m_clock;
    tcp::acceptor m_reservedPort; ///< Bound and never listening, so that no other process takes the port while connections are refused.
    tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Tunnel>> m_tunnels;
};

FaultLink::FaultLink(asio::io_context& io, Endpoint target, const std::string& ownAddress)
    : m_impl(std::make_shared<Impl>(io, std::move(target), ownAddress))
{
    m_impl->accept();
}

FaultLink::~FaultLink()
{
    m_impl->stop();
}

const Endpoint& FaultLink::endpoint() const
{
    return m_impl->own;
}

const Endpoint& FaultLink::target() const
{
    return m_impl->target();
}

void FaultLink::setFaults(const LinkFaults& faults)
{
    m_impl->faults = faults;
}

void FaultLink::reset()
{
    m_impl->resetAll();
}

void FaultLink::crash(Duration downTime)
{
    m_impl->crash(downTime);
}

void FaultLink::stall()
{
    m_impl->stallAll();
}

}
