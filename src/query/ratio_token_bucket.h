#pragma once

#include "base/units.h"

#include <algorithm>
#include <atomic>

namespace lycheefield {

/// Token bucket that limits extra work to a share of the regular work. The tokens spent never
/// exceed the initial tokens plus those earned. Thread safe and lock-free.
class RatioTokenBucket {
public:
    RatioTokenBucket(double initial, double capacity)
        : m_tokens(initial)
        , m_capacity(capacity)
    {
    }

    /// Sets the capacity. Tokens above a reduced capacity are dropped at the next earn().
    void setCapacity(double capacity) { m_capacity.store(capacity, std::memory_order_relaxed); }
    /// Adds `share` times `work` tokens, up to the capacity.
    void earn(Share share, double work)
    {
        const auto capacity = m_capacity.load(std::memory_order_relaxed);
        change([&](double tokens) { return std::min(capacity, tokens + share.value * work); });
    }
    /// True when there is a token now; spend() may still fail when another thread takes the token first.
    bool hasToken() const { return tokens() >= oneToken; }
    /// Takes one token; returns false when there is none.
    bool spend()
    {
        auto tokens = m_tokens.load(std::memory_order_relaxed);
        do {
            if (tokens < oneToken)
                return false;
        } while (!m_tokens.compare_exchange_weak(tokens, tokens - 1, std::memory_order_relaxed));
        return true;
    }
    /// Puts back an unused token taken by spend(), even above the capacity.
    void refund()
    {
        change([](double tokens) { return tokens + 1; });
    }
    /// Removes n tokens, or all when there are fewer.
    void discard(double n)
    {
        change([&](double tokens) { return std::max(0.0, tokens - n); });
    }
    double tokens() const { return m_tokens.load(std::memory_order_relaxed); }

private:
    /// Slightly below 1: sums of shares such as 0.05 fall short of whole numbers by rounding.
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
