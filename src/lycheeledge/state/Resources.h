// Resource amounts, for example of a worker's capacity or a task's declared size.
#pragma once

#include <compare>
#include <cstdint>

namespace lycheeledge {

/// Largest amount of a resource on one worker or of one task: a million cores, a petabyte of memory. The sum over all
/// workers or tasks that a process can hold is far from overflowing.
inline constexpr std::int64_t maxResourceAmount = 1'000'000'000;

/** @brief Vector of resource amounts, used for capacities, declared sizes, reservations and limits. */
struct Resources {
    std::int64_t milliCpu = 0; ///< CPU, in thousandths of a core
    std::int64_t memoryMb = 0; ///< memory, in MB
    std::int64_t accelerators = 0;
    std::int64_t slots = 0; ///< execution slots of the worker's executors
    std::int64_t connections = 0; ///< connections to the worker's executors

    bool operator==(const Resources&) const = default;

    /** @brief Element-wise sum. */
    Resources operator+(const Resources& other) const;
    /** @brief Element-wise difference; amounts may become negative. */
    Resources operator-(const Resources& other) const;
    /** @brief Multiplies each amount by `n`. */
    Resources operator*(std::int64_t n) const;
    Resources& operator+=(const Resources& other) { return *this = *this + other; }
    Resources& operator-=(const Resources& other) { return *this = *this - other; }

    /** @brief Whether each amount is at most that of `capacity`. */
    bool fitsIn(const Resources& capacity) const;
    /** @brief Whether any amount is negative. */
    bool hasNegative() const;
    /** @brief Whether all amounts are zero. */
    bool isZero() const { return *this == Resources {}; }
    /** @brief Largest ratio of an amount to that of `total`. Amounts whose total is zero are skipped. */
    double dominantShare(const Resources& total) const;
};

/** @brief Element-wise minimum. */
Resources lowest(const Resources& a, const Resources& b);
/** @brief Element-wise maximum. */
Resources highest(const Resources& a, const Resources& b);

} // namespace lycheeledge
