#include "forward/forward_request.h"

namespace lycheefield {

std::string_view toString(ServerRequestFailure failure)
{
    switch (failure) {
    case ServerRequestFailure::NotConnected:
        return "not_connected";
    case ServerRequestFailure::ConnectionRejected:
        return "turned_away";
    case ServerRequestFailure::Broken:
        break;
    }
    return "broken";
}

}
