#pragma once

#include "base/endpoint.h"
#include "base/time.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace lycheefield {

/// Faults of a link.
struct LinkFaults {
    Duration delay {}; ///< Added to the bytes that arrive, in either direction. Bytes keep their order, and many may be under way at once.
    bool blocksForward = false; ///< No bytes reach the target.
    bool blocksBackward = false; ///< No bytes come back from the target.
    bool refusesConnections = false; ///< New connections are reset.
};

/// A loopback proxy in front of one endpoint. Blocked bytes are forwarded when the fault ends.
class FaultLink {
public:
    /// Connects to the target from the given loopback address, or from any if it is empty.
    FaultLink(boost::asio::io_context&, Endpoint target, const std::string& ownAddress = {});
    ~FaultLink();

    /// The endpoint to connect to in place of the target.
    const Endpoint& endpoint() const;
    void setFaults(const LinkFaults&);
    /// Resets every open connection.
    void reset();
    /// Resets every open connection and refuses new ones for that time, as a server does that crashes and starts again.
    void crash(Duration downTime);
    /// Blocks all bytes of the connections that are open now, permanently.
    void stall();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

}
