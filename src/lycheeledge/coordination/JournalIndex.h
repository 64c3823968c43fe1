// List of the values that make up a journal.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace lycheeledge {

/**
 * @brief Writes sequence numbers as hexadecimal ranges, for example `1f,40-5b`.
 *
 * The journal keeps this text beside its values. A reader then fetches the values in bounded steps, which the store's
 * prefix reads alone do not allow.
 */
std::string encodeJournalIndex(const std::set<std::uint64_t>& sequences);

/** @brief Inverse of encodeJournalIndex(). Errors: `INVALID_ARGUMENT` for malformed input. */
absl::StatusOr<std::set<std::uint64_t>> decodeJournalIndex(std::string_view text);

} // namespace lycheeledge
