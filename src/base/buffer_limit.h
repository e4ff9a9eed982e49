#pragma once

#include "base/units.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace lycheefield {

class BufferCharge;

/// The connections of one owner that a BufferLimit has ended.
struct BufferEvictions {
    std::string owner;
    std::uint64_t connections = 0;
    std::uint64_t bytes = 0; ///< That they buffered.
    std::uint64_t ownerBytes = 0; ///< That all connections of the owner buffered at the last one's end.

    friend bool operator==(const BufferEvictions&, const BufferEvictions&) = default;
};

/// Limits the bytes that all connections of a process buffer together: messages that are being received, and answers that wait for a
/// slow receiver.
///
/// Beyond the limit a connection is ended. It is the one for which the product of its own bytes and the square of all bytes of its
/// owner is greatest. So an owner that fills the memory, such as a faulty service, loses its largest messages, however many
/// connections it spreads them over, while neither the small messages of a busy owner nor a large message of another one end before
/// them. Thread safe.
class BufferLimit {
public:
    explicit BufferLimit(ByteCount max = defaultMax);
    BufferLimit(const BufferLimit&) = delete;
    BufferLimit& operator=(const BufferLimit&) = delete;

    /// Returns the limit of this process, which counts all connections that are given no other one.
    static const std::shared_ptr<BufferLimit>& ofProcess();

    /// Applies to bytes that are added later.
    void setMax(ByteCount);
    std::uint64_t bytes() const;
    /// Returns the greatest value of bytes() so far.
    std::uint64_t peakBytes() const;
    /// Returns the number of connections ended so far.
    std::uint64_t evictions() const;
    /// Returns whose connections were ended since the last call, for logs.
    std::vector<BufferEvictions> takeEvictions();

    static constexpr ByteCount defaultMax = mebibytes(48);

private:
    friend class BufferCharge;

    /// The connections that are counted under one name.
    struct Owner {
        std::uint64_t bytes = 0;
        std::set<BufferCharge*> charges;
    };

    void add(BufferCharge&);
    void remove(BufferCharge&);
    void change(BufferCharge&, std::uint64_t bytes);
    void setBytes(BufferCharge&, std::uint64_t bytes);
    /// Returns the charge to end next; null when none may be ended. Precondition: the mutex is held.
    BufferCharge* chooseEvicted();
    void recordEviction(const BufferCharge&);

    mutable std::mutex m_mutex;
    ByteCount m_max;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_evictedBytes = 0; ///< The part of m_bytes whose connections are about to end.
    std::uint64_t m_peakBytes = 0;
    std::uint64_t m_evictions = 0;
    std::map<std::string, Owner> m_owners;
    std::map<std::string, BufferEvictions> m_untakenEvictions;
};

/// The bytes that one connection buffers. Not thread safe, except that the limit calls onEvict on any thread.
class BufferCharge {
public:
    /// The owner is what the connection's bytes are counted under with others, such as the server's service. onEvict is called at most
    /// once and must end the connection soon; it must not wait, and must not call this object or the limit. Empty: the bytes are
    /// counted, and the connection is never ended. A null limit counts nothing.
    BufferCharge(std::shared_ptr<BufferLimit>, std::string owner, std::function<void()> onEvict);
    ~BufferCharge();
    BufferCharge(const BufferCharge&) = delete;
    BufferCharge& operator=(const BufferCharge&) = delete;

    /// Sets the bytes that the connection buffers now.
    void set(std::uint64_t bytes);
    /// Returns whether the limit has asked to end the connection. Thread safe.
    bool isEvicted() const;

private:
    friend class BufferLimit;

    std::shared_ptr<BufferLimit> m_limit;
    std::string m_ownerName;
    BufferLimit::Owner* m_owner = nullptr; ///< Points into the limit.
    std::function<void()> m_onEvict;
    std::uint64_t m_bytes = 0;
    bool m_isEvicted = false;
};

}
