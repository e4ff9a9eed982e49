#include "forward/forward_request.h"

namespace lycheefield {

std::string_view toString(SendLoss loss)
{
    switch (loss) {
    case SendLoss::NotConnected:
        return "not_connected";
    case SendLoss::TurnedAway:
        return "turned_away";
    case SendLoss::Broken:
        break;
    }
    return "broken";
}

}
