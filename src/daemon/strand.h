#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

namespace lycheefield {

/// Executor that runs posted functions one after the other, on any thread of the io_context.
using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

}
