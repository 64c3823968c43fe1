// Binary encoding of journal records, using cereal.

#include "JournalCodec.h"

#include "BinaryCodec.h"

namespace lycheeledge {

std::string CerealJournalCodec::encode(const std::vector<JournalRecord>& records) const
{
    return detail::encodeBinary(records);
}

absl::StatusOr<std::vector<JournalRecord>> CerealJournalCodec::decode(std::string_view buf) const
{
    return detail::decodeBinary<std::vector<JournalRecord>>(buf);
}

} // namespace lycheeledge
