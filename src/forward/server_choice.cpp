#include "forward/server_choice.h"

namespace lycheefield {

std::string_view toString(ServerExclusion exclusion)
{
    switch (exclusion) {
    case ServerExclusion::None:
        return "none";
    case ServerExclusion::NoNewWork:
        return "no new work";
    case ServerExclusion::Tried:
        return "tried";
    case ServerExclusion::Limited:
        return "limited";
    case ServerExclusion::ConnectionsUsed:
        return "connections used";
    }
    return "unknown";
}

}
