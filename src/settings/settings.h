#pragma once

#include "claims/claim_settings.h"
#include "dispatch/relay_settings.h"
#include "forward/forward_settings.h"
#include "membership/membership_settings.h"
#include "query/query_settings.h"
#include "settings/daemon_settings.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheefield {

/// Everything that a settings file decides. Immutable once read.
struct Settings {
    InstanceSettings instance;
    ListenSettings listen;
    PlatformSettings platform;
    DrainSettings drain;
    HttpSettings http;
    ObserveSettings observe;
    FaultSettings fault;
    QuerySettings query;
    RelaySettings relay;
    ClaimSettings claims;
    MembershipSettings membership;
    GatewaySettings gateway;
    ForwardSettings forward;

    /// The address that peers and the platform are told.
    const std::string& reachableAddress() const { return listen.advertisedAddress.empty() ? listen.address : listen.advertisedAddress; }

    friend bool operator==(const Settings&, const Settings&) = default;
};

/// One mistake in a settings file.
struct SettingError {
    std::string file;
    std::uint32_t line = 0; ///< From 1; 0 when something is missing from the whole file.
    std::string key; ///< "section.key".
    std::string message;
    std::string allowed; ///< What may be written instead.

    friend bool operator==(const SettingError&, const SettingError&) = default;
    friend std::ostream& operator<<(std::ostream&, const SettingError&);
};

using ParsedSettings = std::variant<Settings, std::vector<SettingError>>;

/// Reads INI text. Keys left out keep their defaults. Either everything is good and settings come
/// back, or all mistakes do. `file` is the name used in errors. Thread safe.
ParsedSettings parseSettings(std::string_view text, const std::string& file);

/// As parseSettings, from a file. A file that can't be read is one error.
ParsedSettings loadSettings(const std::string& path);

}
