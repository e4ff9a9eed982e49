#pragma once

#include "admission/admission_settings.h"
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

/// The content of a settings file. Immutable once parsed.
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
    AdmissionSettings admission;
    std::vector<std::string> adjusted; ///< Full names of the keys whose text had no value or one outside the range.

    /// Returns the address that is announced to peers and the platform.
    const std::string& reachableAddress() const { return listen.advertisedAddress.empty() ? listen.address : listen.advertisedAddress; }

    friend bool operator==(const Settings&, const Settings&) = default;
};

/// One error in a settings file.
struct SettingError {
    std::string file;
    std::uint32_t line = 0; ///< From 1; 0 for an error of the whole file, such as a missing key.
    std::string key; ///< "section.key".
    std::string message;
    std::string allowed; ///< The allowed values or syntax.

    friend bool operator==(const SettingError&, const SettingError&) = default;
    friend std::ostream& operator<<(std::ostream&, const SettingError&);
};

using ParsedSettings = std::variant<Settings, std::vector<SettingError>>;

/// Parses settings from INI text. Absent keys keep their defaults. Returns the settings or, when there is any
/// error, all errors. `file` is the file name used in errors. Thread safe.
ParsedSettings parseSettings(std::string_view text, const std::string& file);

/// Parses settings from a file as parseSettings does. An unreadable file is reported as one error.
ParsedSettings loadSettings(const std::string& path);

}
