#include "forward/forward_request.h"

#include "base/fingerprint.h"

#include <algorithm>
#include <cctype>

namespace lycheefield {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

}

Fingerprint contentOf(const HttpRequest& request)
{
    auto hash = stableHash(request.method);
    hash = stableHash(lowerCase(request.headers.find("Host")), hash);
    hash = stableHash(request.target, hash);
    return Fingerprint(stableHash(request.body, hash));
}

std::string_view toString(ServerRequestFailure failure)
{
    switch (failure) {
    case ServerRequestFailure::Withdrawn:
        return "withdrawn";
    case ServerRequestFailure::NotConnected:
        return "not_connected";
    case ServerRequestFailure::NoLocalResources:
        return "no_local_resources";
    case ServerRequestFailure::ConnectionRejected:
        return "turned_away";
    case ServerRequestFailure::Broken:
        break;
    }
    return "broken";
}

}
