#include "observe/log_text.h"

namespace lycheefield {

void appendJsonText(std::string& out, std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    out += '"';
    for (const char it : text) {
        if (it == '"' || it == '\\')
            out += '\\';
        out += static_cast<unsigned char>(it) < firstPrintable ? ' ' : it;
    }
    out += '"';
}

}
