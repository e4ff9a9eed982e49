#pragma once

#include "standin/platform_store.h"

#include <string>

namespace lycheefield::standin {

/// JSON bodies of the platform's answers, as docs/INTERFACES.md gives them.
std::string objectJson(const StoredObject&);
std::string versionJson(ObjectVersion);
std::string listJson(std::uint64_t revision, const std::vector<StoredObject>&);
std::string instancesJson(const InstanceReports&);
std::string countersJson(const PlatformCounters&);
std::string faultsJson(const PlatformFaults&);

/// The given faults with the members named in the JSON text changed; empty when the text is malformed.
std::optional<PlatformFaults> changeFaults(PlatformFaults, const std::string& json);
/// The report with its name put in; empty when the text is no JSON object.
std::optional<std::string> instanceReport(const std::string& name, const std::string& json);

}
