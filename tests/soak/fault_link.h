#pragma once

#include "base/endpoint.h"
#include "base/time.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace lycheefield::soak {

/// What a link does to the bytes that pass it.
struct LinkFaults {
    Duration delay {};
    bool holdsForward = false; ///< Nothing gets through to the target.
    bool holdsBackward = false; ///< Nothing comes back from it.
    bool refuses = false; ///< New connections are reset.
};

/// A loopback proxy in front of one endpoint. Bytes that are held back are passed on when the fault ends.
class FaultLink {
public:
    FaultLink(boost::asio::io_context&, Endpoint target);
    ~FaultLink();

    /// Where to connect in place of the target.
    const Endpoint& endpoint() const;
    void setFaults(const LinkFaults&);
    /// Resets every connection that is open.
    void reset();
    /// The connections that are open now stay silent for good.
    void silence();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

}
