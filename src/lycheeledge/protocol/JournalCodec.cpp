// Binary form of journal values, by cereal.

#include "JournalCodec.h"

#include "Serialization.h"

#include <exception>
#include <sstream>

namespace lycheeledge {

std::string CerealJournalCodec::encode(const std::vector<JournalRecord>& records) const
{
    std::ostringstream out(std::ios::binary);
    cereal::PortableBinaryOutputArchive archive(out);
    archive(records);
    return out.str();
}

absl::StatusOr<std::vector<JournalRecord>> CerealJournalCodec::decode(std::string_view buf) const
{
    // A corrupt length prefix makes cereal throw std::length_error or std::bad_alloc besides its own exception.
    try {
        std::istringstream in(std::string(buf), std::ios::binary);
        cereal::PortableBinaryInputArchive archive(in);
        std::vector<JournalRecord> records;
        archive(records);
        if (in.peek() != std::istringstream::traits_type::eof())
            return absl::InvalidArgumentError("journal value has trailing bytes");
        return records;
    } catch (const std::exception& e) {
        return absl::InvalidArgumentError(e.what());
    }
}

} // namespace lycheeledge
