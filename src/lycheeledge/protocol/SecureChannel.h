// Authenticates the frames of a connection between entry processes.
#pragma once

#include "../state/Ids.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheeledge {

/**
 * @brief Adds authentication tags to the frames of one connection and verifies them.
 *
 * Each side first sends a hello with its member id and a random nonce. Every later frame carries an HMAC over both
 * nonces, the direction, a frame counter and the message, so that a frame replayed from another connection, or from
 * this one, is rejected. Frames are not encrypted.
 */
class SecureChannel {
public:
    /** @param nonce at least 16 random bytes. */
    SecureChannel(std::string secret, MemberId self, std::string nonce, bool initiator);

    /** @brief Hello of this side, to be sent as the first frame. */
    std::string hello() const;
    /** @brief Verifies the remote side's hello. Errors: `UNAUTHENTICATED`. */
    absl::Status acceptHello(std::string_view frame);
    bool established() const { return !m_remoteNonce.empty(); }
    /** @brief Id of the remote member; valid once established. */
    const MemberId& remote() const { return m_remote; }

    /** @brief Prepends the authentication tag. Requires established(). */
    std::string seal(std::string_view message);
    /** @brief Verifies and removes the tag. Errors: `UNAUTHENTICATED`. */
    absl::StatusOr<std::string> open(std::string_view frame);

private:
    std::string tag(bool fromInitiator, std::uint64_t counter, std::string_view message) const;

    std::string m_secret;
    MemberId m_self;
    std::string m_nonce;
    bool m_initiator;
    MemberId m_remote;
    std::string m_remoteNonce; // empty until the remote hello is accepted
    std::uint64_t m_sentFrames = 0;
    std::uint64_t m_receivedFrames = 0;
};

/** @brief Prepends an HMAC to a message. Does not detect replays: the message must carry a sequence number. */
std::string sealDatagram(std::string_view secret, std::string_view message);
/** @brief Inverse of sealDatagram(). Errors: `UNAUTHENTICATED`. */
absl::StatusOr<std::string> openDatagram(std::string_view secret, std::string_view datagram);

} // namespace lycheeledge
