#pragma once

#include "standin/platform_store.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace lycheefield::standin {

/// Serves a PlatformStore over HTTP (docs/INTERFACES.md, "Platform"), with control calls below /standin/.
///
/// | control | |
/// |---|---|
/// | `GET /standin/counters` | calls by kind, as JSON |
/// | `GET /standin/faults` | active faults, as JSON |
/// | `PUT /standin/faults` | changes the faults named in the JSON body |
/// | `DELETE /standin/instances/NAME` | removes the instance from the list |
///
/// The members of the faults are `outage`, `delay-us`, `lose-write-answers`, `late-writes`, `late-by-us`,
/// `instance-lag-us` and `calls-per-second`. A lost response closes the connection. Control calls are
/// neither counted nor refused. Runs on its own strand.
class PlatformServer {
public:
    explicit PlatformServer(boost::asio::io_context&, const PlatformFaults& = {});
    ~PlatformServer();
    PlatformServer(const PlatformServer&) = delete;
    PlatformServer& operator=(const PlatformServer&) = delete;

    /// Starts to listen and returns the port; with port 0 the kernel chooses one. Throws boost::system::system_error.
    std::uint16_t listen(const std::string& address, std::uint16_t port);
    /// Stops listening and closes all connections.
    void stop();
    /// The state that is served. Use only while no thread runs the io_context, or from its only thread.
    PlatformStore& store();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

}
