#include "rules/rule_parser.h"

namespace lycheefield {

std::ostream& operator<<(std::ostream& out, const RuleError& error)
{
    return out << error.line << ':' << error.column << ": " << error.message << "; " << error.remedy;
}

}
