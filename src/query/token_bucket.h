#pragma once

#include "base/units.h"

#include <algorithm>

namespace lycheefield {

/// Allows extra work in proportion to the work that is needed anyway. What was spent never
/// exceeds the initial tokens plus the share of what was earned. Not thread safe.
class TokenBucket {
public:
    TokenBucket(double initial, double capacity)
        : m_tokens(initial)
        , m_capacity(capacity)
    {
    }

    /// What is saved above a smaller capacity is lost with the next earning.
    void setCapacity(double capacity) { m_capacity = capacity; }
    void earn(Share share, double work) { m_tokens = std::min(m_capacity, m_tokens + share.value * work); }
    bool has() const { return m_tokens >= oneToken; }
    /// Takes one token; false when there is none.
    bool spend()
    {
        if (!has())
            return false;
        m_tokens -= 1;
        return true;
    }
    /// Takes as many tokens as there are, up to n.
    void drain(double n) { m_tokens = std::max(0.0, m_tokens - n); }
    double tokens() const { return m_tokens; }

private:
    /// Sums of 0.05 fall short of whole numbers by rounding.
    static constexpr double oneToken = 1 - 1e-9;

    double m_tokens;
    double m_capacity;
};

}
