// Interface to the binary encoding of journal values.
#pragma once

#include "JobJournal.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace lycheeledge {

/** @brief Converts journal records to and from the values in the store. */
class JournalCodec {
public:
    virtual ~JournalCodec() = default;

    virtual std::string encode(const std::vector<JournalRecord>& records) const = 0;
    /** @brief Inverse of encode(). Errors: `INVALID_ARGUMENT` for malformed input. */
    virtual absl::StatusOr<std::vector<JournalRecord>> decode(std::string_view buf) const = 0;
};

} // namespace lycheeledge
