#pragma once

#include "standin/platform_store.h"

#include <string>

namespace lycheefield::standin {

/// JSON bodies of the platform's responses, as specified in docs/INTERFACES.md.
std::string objectJson(const StoredObject&);
std::string versionJson(ObjectVersion);
std::string listJson(std::uint64_t revision, const std::vector<StoredObject>&);
std::string instancesJson(const InstanceReports&);
std::string countersJson(const PlatformCounters&);
std::string faultsJson(const PlatformFaults&);

/// Returns the given faults with the members named in the JSON text changed; no value when the text is malformed.
std::optional<PlatformFaults> changeFaults(PlatformFaults, const std::string& json);
/// Returns the report with its name added; no value when the text is not a JSON object.
std::optional<std::string> instanceReport(const std::string& name, const std::string& json);

}
