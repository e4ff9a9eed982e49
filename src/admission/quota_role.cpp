#include "admission/quota_role.h"

namespace lycheefield {

std::string_view toString(QuotaRole role)
{
    switch (role) {
    case QuotaRole::None:
        return "none";
    case QuotaRole::Keeper:
        return "keeper";
    case QuotaRole::Standby:
        return "standby";
    }
    return "unknown";
}

}
