#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace lycheefield {

/// Identifier of type Rep that the compiler does not convert to another kind of identifier.
///
/// Tag is an incomplete type that only distinguishes the kinds. Const access is thread safe.
template <typename Tag, typename Rep>
class StrongId {
public:
    using Representation = Rep;

    StrongId() = default;
    explicit StrongId(Rep value)
        : m_value(std::move(value))
    {
    }

    const Rep& value() const { return m_value; }

    friend bool operator==(const StrongId&, const StrongId&) = default;
    friend auto operator<=>(const StrongId&, const StrongId&) = default;
    friend std::ostream& operator<<(std::ostream& out, const StrongId& id) { return out << id.m_value; }

private:
    Rep m_value {};
};

}

template <typename Tag, typename Rep>
struct std::hash<lycheefield::StrongId<Tag, Rep>> {
    std::size_t operator()(const lycheefield::StrongId<Tag, Rep>& id) const noexcept { return std::hash<Rep> {}(id.value()); }
};
