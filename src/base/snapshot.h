#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace lycheefield {

/// Publishes immutable values of T to concurrent readers (read-copy-update).
///
/// A reader takes the current value once and holds on to that value while a consistent view is needed;
/// a writer replaces the whole value. Thread safe.
template <typename T>
class Snapshot {
public:
    Snapshot()
        : m_current(std::make_shared<const T>())
    {
    }
    explicit Snapshot(T initial)
        : m_current(std::make_shared<const T>(std::move(initial)))
    {
    }

    /// Returns the current value; never null.
    std::shared_ptr<const T> read() const { return m_current.load(std::memory_order_acquire); }
    void publish(T value) { m_current.store(std::make_shared<const T>(std::move(value)), std::memory_order_release); }

private:
    std::atomic<std::shared_ptr<const T>> m_current;
};

}
