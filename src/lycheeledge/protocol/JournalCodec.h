// Binary encoding of journal records, using cereal.
#pragma once

#include "../coordination/JournalCodec.h"

namespace lycheeledge {

/** @brief Serialises journal records with cereal's portable binary archive. */
class CerealJournalCodec final : public JournalCodec {
public:
    std::string encode(const std::vector<JournalRecord>& records) const override;
    absl::StatusOr<std::vector<JournalRecord>> decode(std::string_view buf) const override;
};

} // namespace lycheeledge
