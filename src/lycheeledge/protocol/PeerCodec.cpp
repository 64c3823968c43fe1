// Binary form of the messages between entry processes.

#include "PeerCodec.h"

#include "BoundedArchive.h"
#include "Serialization.h"

#include <exception>
#include <sstream>

namespace lycheeledge {

namespace {

    template <typename T> std::string encode(const T& value)
    {
        std::ostringstream out(std::ios::binary);
        cereal::PortableBinaryOutputArchive archive(out);
        archive(value);
        return out.str();
    }

    template <typename T> absl::StatusOr<T> decode(std::string_view buf)
    {
        try {
            BoundedInputArchive archive(buf);
            T value;
            archive(value);
            if (!archive.atEnd())
                return absl::InvalidArgumentError("message has trailing bytes");
            return value;
        } catch (const std::exception& e) {
            return absl::InvalidArgumentError(e.what());
        }
    }

} // namespace

std::string encodeGossip(const Gossip& message) { return encode(message); }
std::string encodePeerMessage(const PeerMessage& message) { return encode(message); }
absl::StatusOr<Gossip> decodeGossip(std::string_view buf) { return decode<Gossip>(buf); }
absl::StatusOr<PeerMessage> decodePeerMessage(std::string_view buf) { return decode<PeerMessage>(buf); }

} // namespace lycheeledge
