// List of the sequence numbers of the values in a journal.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace lycheeledge {

/**
 * @brief Encodes sequence numbers as hexadecimal ranges, for example `1f,40-5b`.
 *
 * The journal stores this text next to its values, so that a reader can fetch the values in steps of bounded size. The
 * store's prefix reads alone do not allow that.
 */
std::string encodeJournalIndex(const std::set<std::uint64_t>& sequences);

/** @brief Inverse of encodeJournalIndex(). Errors: `INVALID_ARGUMENT` for malformed input. */
absl::StatusOr<std::set<std::uint64_t>> decodeJournalIndex(std::string_view text);

} // namespace lycheeledge
