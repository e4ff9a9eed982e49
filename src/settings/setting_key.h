#pragma once

#include "settings/settings.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheefield {

/// Pointer to the member of Settings that a key sets.
using SettingField = std::variant<bool*, std::uint16_t*, std::uint32_t*, double*, Duration*, Share*, ByteCount*, std::string*, Endpoint*,
    InstanceName*, ZoneName*, Routing*, LogFormat*>;

/// Lower and upper bound of a number, duration, share or size, in the syntax of the settings file.
struct SettingRange {
    std::string min;
    std::string max;

    friend bool operator==(const SettingRange&, const SettingRange&) = default;
};

/// What became of the text of a value.
enum class SettingOutcome : std::uint8_t {
    Set,
    Clamped, ///< The value is outside the range and has been moved to the nearest bound.
    Unset, ///< The text has no value, as a template's placeholder for a figure that a deployment lacks; the default stays.
    Refused, ///< The text is not an allowed value; nothing has changed.
};

/// Description of one key of the settings file. The table of these is the only place that names the keys.
struct SettingKey {
    std::string section;
    std::string key;
    SettingField (*field)(Settings&) = nullptr;
    SettingRange range; ///< Empty for types without bounds, such as texts and choices.
    std::string doc; ///< Purpose, one sentence for operators.
    bool required = false;
    bool isFigure = false; ///< Set from a deployment's figures: a missing one leaves the default, one outside the range is moved into it.

    std::string fullName() const { return section + "." + key; }
    /// Returns "duration", "whole number", "number", "share", "size", "switch", "text", "endpoint" or "choice".
    std::string type() const;
    /// Returns the unit of the value; "-" for a value without a unit.
    std::string unit() const;
    /// Returns the allowed values in words.
    std::string allowed() const;
    std::string defaultText() const;
    /// Sets the key's member from the text.
    SettingOutcome assign(Settings&, std::string_view text) const;
};

/// Returns every key of the settings file, grouped by section. Thread safe.
const std::vector<SettingKey>& settingKeys();

/// Returns null when there is no such key.
const SettingKey* findSettingKey(std::string_view section, std::string_view key);

/// Returns a table of all keys with type, unit, default, allowed values and purpose, as `lycheefield settings`
/// prints it.
std::string describeSettings();

}
