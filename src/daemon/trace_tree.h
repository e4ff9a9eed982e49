#pragma once

#include "observe/trace_store.h"

#include <string>

namespace lycheefield {

/// Formats a trace as a text tree, one span per line, with its start and duration in milliseconds. A span whose
/// parent is not in the trace appears at the root.
std::string drawTrace(const Trace&);

}
