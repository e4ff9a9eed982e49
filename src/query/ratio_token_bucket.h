#pragma once

#include "base/units.h"

#include <algorithm>
#include <atomic>

namespace lycheefield {

/// Allows extra work in proportion to the work that is needed anyway. What was spent never
/// exceeds the initial tokens plus the share of what was earned. Thread safe, without locks.
class RatioTokenBucket {
public:
    RatioTokenBucket(double initial, double capacity)
        : m_tokens(initial)
        , m_capacity(capacity)
    {
    }

    /// What is saved above a smaller capacity is lost with the next earning.
    void setCapacity(double capacity) { m_capacity.store(capacity, std::memory_order_relaxed); }
    void earn(Share share, double work)
    {
        const auto capacity = m_capacity.load(std::memory_order_relaxed);
        change([&](double tokens) { return std::min(capacity, tokens + share.value * work); });
    }
    bool has() const { return tokens() >= oneToken; }
    /// Takes one token; false when there is none.
    bool spend()
    {
        auto tokens = m_tokens.load(std::memory_order_relaxed);
        do {
            if (tokens < oneToken)
                return false;
        } while (!m_tokens.compare_exchange_weak(tokens, tokens - 1, std::memory_order_relaxed));
        return true;
    }
    /// Gives back a token that spend() took and that was not used.
    void refund()
    {
        change([](double tokens) { return tokens + 1; });
    }
    /// Takes as many tokens as there are, up to n.
    void drain(double n)
    {
        change([&](double tokens) { return std::max(0.0, tokens - n); });
    }
    double tokens() const { return m_tokens.load(std::memory_order_relaxed); }

private:
    /// Sums of 0.05 fall short of whole numbers by rounding.
    static constexpr double oneToken = 1 - 1e-9;

    template <typename Next>
    void change(Next next)
    {
        auto tokens = m_tokens.load(std::memory_order_relaxed);
        while (!m_tokens.compare_exchange_weak(tokens, next(tokens), std::memory_order_relaxed)) { }
    }

    std::atomic<double> m_tokens;
    std::atomic<double> m_capacity;
};

}
