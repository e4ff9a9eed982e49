#include "http/tcp_round_trip.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lycheefield {

Duration tcpRoundTrip(int socket)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return {};
    return std::chrono::microseconds(info.tcpi_rtt);
}

}
