#include "fault_link.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <set>
#include <utility>

namespace lycheefield::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t readBytes = 16U * 1024;
constexpr Duration holdCheckPeriod = std::chrono::milliseconds(20);

}

class FaultLink::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& io, Endpoint target)
        : m_io(io)
        , m_target(std::move(target))
        , m_acceptor(io, { asio::ip::address_v4::loopback(), 0 })
    {
        own = { "127.0.0.1", m_acceptor.local_endpoint().port() };
    }

    struct Pair : std::enable_shared_from_this<Pair> {
        Pair(std::shared_ptr<Impl> link, tcp::socket accepted)
            : owner(std::move(link))
            , client(std::move(accepted))
            , server(owner->m_io)
        {
        }
        std::shared_ptr<Impl> owner;
        tcp::socket client;
        tcp::socket server;
        bool isSilent = false;

        void end()
        {
            boost::system::error_code ec;
            for (auto* socket : { &client, &server }) {
                socket->set_option(asio::socket_base::linger(true, 0), ec);
                socket->close(ec);
            }
            owner->m_pairs.erase(shared_from_this());
        }
    };

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](const boost::system::error_code& ec, tcp::socket socket) {
            if (ec)
                return;
            auto pair = std::make_shared<Pair>(self, std::move(socket));
            self->m_pairs.insert(pair);
            if (self->faults.refuses)
                pair->end();
            else
                connect(pair);
            self->accept();
        });
    }

    static void connect(const std::shared_ptr<Pair>& pair)
    {
        pair->server.async_connect({ asio::ip::make_address(pair->owner->m_target.address), pair->owner->m_target.port }, [pair](const boost::system::error_code& ec) {
            if (ec)
                return pair->end();
            boost::system::error_code ignored;
            pair->client.set_option(tcp::no_delay(true), ignored);
            pair->server.set_option(tcp::no_delay(true), ignored);
            pump(pair, true);
            pump(pair, false);
        });
    }

    static void pump(const std::shared_ptr<Pair>& pair, bool isForward)
    {
        auto buf = std::make_shared<std::array<char, readBytes>>();
        (isForward ? pair->client : pair->server).async_read_some(asio::buffer(*buf), [pair, isForward, buf](const boost::system::error_code& ec, std::size_t n) {
            if (ec)
                return pair->end();
            pass(pair, isForward, buf, n, pair->owner->faults.delay);
        });
    }

    static void pass(const std::shared_ptr<Pair>& pair, bool isForward, const std::shared_ptr<std::array<char, readBytes>>& buf, std::size_t n, Duration delay)
    {
        const auto& faults = pair->owner->faults;
        const bool isHeld = pair->isSilent || (isForward ? faults.holdsForward : faults.holdsBackward);
        if (isHeld || delay > Duration {}) {
            auto timer = std::make_shared<asio::steady_timer>(pair->owner->m_io, isHeld ? holdCheckPeriod : delay);
            timer->async_wait([timer, pair, isForward, buf, n](const boost::system::error_code&) {
                if (pair->client.is_open())
                    pass(pair, isForward, buf, n, {});
            });
            return;
        }
        asio::async_write(isForward ? pair->server : pair->client, asio::buffer(*buf, n), [pair, isForward, buf](const boost::system::error_code& ec, std::size_t) {
            if (ec)
                return pair->end();
            pump(pair, isForward);
        });
    }

    void stop()
    {
        boost::system::error_code ec;
        m_acceptor.close(ec);
        resetAll();
    }

    void resetAll()
    {
        const auto pairs = m_pairs;
        for (const auto& it : pairs)
            it->end();
    }

    void silenceAll()
    {
        for (const auto& it : m_pairs)
            it->isSilent = true;
    }

    Endpoint own;
    LinkFaults faults;

private:
    asio::io_context& m_io;
    Endpoint m_target;
    tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Pair>> m_pairs;
};

FaultLink::FaultLink(asio::io_context& io, Endpoint target)
    : m_impl(std::make_shared<Impl>(io, std::move(target)))
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

void FaultLink::setFaults(const LinkFaults& faults)
{
    m_impl->faults = faults;
}

void FaultLink::reset()
{
    m_impl->resetAll();
}

void FaultLink::silence()
{
    m_impl->silenceAll();
}

}
