#pragma once

#include <string>
#include <string_view>

namespace lycheefield {

/// Appends the text as a JSON string. Control characters become blanks, so that a log record stays on one line.
void appendJsonText(std::string& out, std::string_view text);

}
