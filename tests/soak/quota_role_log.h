#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace lycheefield::soak {

/// Finds from the logs of all gateways whether two processes had the role for a team's quota at the same time.
///
/// The times in the logs are of one clock. A process that ends without a word is taken to have had its roles until its last line.
class QuotaRoleLog {
public:
    /// Adds the log of a gateway and of the processes that followed it under its name.
    void add(const std::string& gateway, std::istream&);
    /// How often two processes had the same role at once.
    std::size_t overlaps() const;
    /// How often a process gained a role.
    std::size_t gains() const;

private:
    struct Tenure {
        std::string gateway;
        std::int64_t from = 0; ///< Microseconds.
        std::int64_t until = 0;
    };

    std::map<std::string, std::vector<Tenure>> m_tenures; ///< By team and role.
};

}
