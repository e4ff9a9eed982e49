#pragma once

#include "observe/trace_store.h"

#include <string>

namespace lycheefield {

/// Draws a trace as a tree, one span a line, with its start and its duration in milliseconds. A
/// span whose parent is not in the trace stands at the root.
std::string drawTrace(const Trace&);

}
