// Binary encoding of any type that has cereal serialization functions.
#pragma once

#include "BoundedArchive.h"
#include "Serialization.h"

#include <absl/status/statusor.h>

#include <exception>
#include <sstream>
#include <string>
#include <string_view>

namespace lycheeledge::detail {

/** @brief Serialises with cereal's portable binary archive. */
template <typename T> std::string encodeBinary(const T& value)
{
    std::ostringstream out(std::ios::binary);
    cereal::PortableBinaryOutputArchive archive(out);
    archive(value);
    return out.str();
}

/** @brief Inverse of encodeBinary(). Errors: `INVALID_ARGUMENT` for malformed input. */
template <typename T> absl::StatusOr<T> decodeBinary(std::string_view buf)
{
    try {
        BoundedInputArchive archive(buf);
        T value;
        archive(value);
        if (!archive.atEnd())
            return absl::InvalidArgumentError("input has trailing bytes");
        return value;
    } catch (const std::exception& e) {
        return absl::InvalidArgumentError(e.what());
    }
}

} // namespace lycheeledge::detail
