#pragma once

#include "support/fault_link.h"

#include "base/endpoint.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>

namespace lycheefield::soak {

/// The links between gateways: one for each ordered pair, over which the first connects to the second.
///
/// A gateway learns from the store where the others listen. The stand-in store passes each reader's entries through entryFor(), so
/// that the reader connects to a link. A process that is started again listens elsewhere and gets a new link with the pair's faults.
class PeerLinks {
public:
    explicit PeerLinks(boost::asio::io_context&);

    /// Returns the entry of the gateway `to` as the gateway `from` reads it.
    std::string entryFor(const std::string& from, const std::string& to, const std::string& spec);
    void setFaults(const std::string& from, const std::string& to, const LinkFaults&);
    /// Resets the open connections of the pair.
    void reset(const std::string& from, const std::string& to);
    /// Ends all faults.
    void clearFaults();

private:
    using Pair = std::pair<std::string, std::string>;

    FaultLink& linkTo(const Pair&, const Endpoint& target);

    boost::asio::io_context& m_io;
    std::map<Pair, LinkFaults> m_faults;
    std::map<Pair, std::map<Endpoint, std::unique_ptr<FaultLink>>> m_links; ///< By the endpoint of the process.
};

}
