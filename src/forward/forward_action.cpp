#include "forward/forward_action.h"

namespace lycheefield {

std::string_view toString(ServerCheck check)
{
    switch (check) {
    case ServerCheck::Running:
        return "running";
    case ServerCheck::Ended:
        return "ended";
    case ServerCheck::NotMade:
        return "not made";
    case ServerCheck::Unreachable:
        break;
    }
    return "unreachable";
}

}
