// Binary encoding of the messages between entry processes.

#include "PeerCodec.h"

#include "BinaryCodec.h"

namespace lycheeledge {

std::string encodeGossip(const Gossip& message) { return detail::encodeBinary(message); }
std::string encodePeerMessage(const PeerMessage& message) { return detail::encodeBinary(message); }
absl::StatusOr<Gossip> decodeGossip(std::string_view buf) { return detail::decodeBinary<Gossip>(buf); }
absl::StatusOr<PeerMessage> decodePeerMessage(std::string_view buf) { return detail::decodeBinary<PeerMessage>(buf); }

} // namespace lycheeledge
