#pragma once

#include "base/time.h"

namespace lycheefield {

/// Returns the kernel's smoothed round trip of a TCP socket; zero when the kernel does not tell. Thread safe.
Duration tcpRoundTrip(int socket);

}
