// String identifiers whose kind is checked at compile time.
#pragma once

#include <compare>
#include <ostream>
#include <string>
#include <utility>

namespace lycheeledge {

/** @brief Immutable string identifier. @tparam Tag type that distinguishes the kinds of identifiers. */
template <typename Tag> class StrongId {
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    auto operator<=>(const StrongId&) const = default;
    bool operator==(const StrongId&) const = default;

    template <typename H> friend H AbslHashValue(H h, const StrongId& id)
    {
        return H::combine(std::move(h), id.m_value);
    }

    friend std::ostream& operator<<(std::ostream& out, const StrongId& id) { return out << id.m_value; }

private:
    std::string m_value;
};

} // namespace lycheeledge
