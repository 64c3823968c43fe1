// Binary encoding of the messages between entry processes.
#pragma once

#include "../coordination/PeerMessages.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace lycheeledge {

/** @brief Serialises with cereal's portable binary archive. */
std::string encodeGossip(const Gossip& message);
std::string encodePeerMessage(const PeerMessage& message);

/** @brief Inverse of the encoders. Errors: `INVALID_ARGUMENT` for malformed input. */
absl::StatusOr<Gossip> decodeGossip(std::string_view buf);
absl::StatusOr<PeerMessage> decodePeerMessage(std::string_view buf);

} // namespace lycheeledge
