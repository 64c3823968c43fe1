// Binary form of the messages between entry processes.

#include "PeerCodec.h"

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
        // cereal reports malformed input by exceptions. A length prefix larger than the input makes it throw
        // std::length_error or std::bad_alloc, so all of them are caught here.
        try {
            std::istringstream in(std::string(buf), std::ios::binary);
            cereal::PortableBinaryInputArchive archive(in);
            T value;
            archive(value);
            if (in.peek() != std::istringstream::traits_type::eof())
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
