#pragma once

#include "settings/settings.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheefield {

/// Points at the member of Settings that a key sets.
using SettingField = std::variant<bool*, std::uint16_t*, std::uint32_t*, Duration*, Share*, ByteCount*, std::string*, Endpoint*,
    InstanceName*, ZoneName*, Routing*, LogFormat*>;

/// Least and greatest value of a number, duration, share or size, as they are written in the file.
struct SettingRange {
    std::string least;
    std::string greatest;

    friend bool operator==(const SettingRange&, const SettingRange&) = default;
};

/// Describes one key of the settings file. The table of them is the only place that names keys.
struct SettingKey {
    std::string section;
    std::string key;
    SettingField (*field)(Settings&) = nullptr;
    SettingRange range; ///< Empty for texts and choices.
    std::string doc; ///< One sentence for operators.
    bool required = false;

    std::string fullName() const { return section + "." + key; }
    /// "duration", "whole number", "share", "size", "switch", "text" or "choice".
    std::string type() const;
    /// Unit of the value; "-" when it has none.
    std::string unit() const;
    /// What may be written, in words.
    std::string allowed() const;
    std::string defaultText() const;
    /// Sets the key's member; false, and nothing is changed, when the text is not allowed.
    bool assign(Settings&, std::string_view text) const;
};

/// Every key of the settings file, by section. Thread safe.
const std::vector<SettingKey>& settingKeys();

/// Null when there is no such key.
const SettingKey* findSettingKey(std::string_view section, std::string_view key);

/// A table of every key with type, unit, default, range and purpose, for `lycheefield settings`.
std::string describeSettings();

}
