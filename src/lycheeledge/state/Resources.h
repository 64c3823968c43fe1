// Amounts of the resources that a worker has and a task asks for.
#pragma once

#include <compare>
#include <cstdint>

namespace lycheeledge {

/** @brief Amount of each resource. Used for capacities, declared sizes, reservations and limits. */
struct Resources {
    std::int64_t milliCpu = 0; ///< processors, in thousandths of a core
    std::int64_t memoryMb = 0; ///< memory, in MB
    std::int64_t accelerators = 0;
    std::int64_t slots = 0; ///< execution slots of the worker's executors
    std::int64_t connections = 0; ///< connections to the worker's executors

    bool operator==(const Resources&) const = default;

    /** @brief Adds each amount. */
    Resources operator+(const Resources& other) const;
    /** @brief Subtracts each amount; results may be negative. */
    Resources operator-(const Resources& other) const;
    /** @brief Multiplies each amount. */
    Resources operator*(std::int64_t n) const;
    Resources& operator+=(const Resources& other) { return *this = *this + other; }
    Resources& operator-=(const Resources& other) { return *this = *this - other; }

    /** @brief Whether no amount is larger than that of `capacity`. */
    bool fitsIn(const Resources& capacity) const;
    /** @brief Whether any amount is negative. */
    bool hasNegative() const;
    /** @brief Whether all amounts are zero. */
    bool isZero() const { return *this == Resources {}; }
    /** @brief Largest quotient of an amount and that of `total`; amounts whose total is zero are skipped. */
    double dominantShare(const Resources& total) const;
};

} // namespace lycheeledge
