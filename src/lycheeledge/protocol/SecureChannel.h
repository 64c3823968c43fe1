// Authentication of the frames of one connection between entry processes.
#pragma once

#include "../state/Ids.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheeledge {

/**
 * @brief Seals and opens the frames of one connection.
 *
 * Each side first sends a hello with its member id and a random nonce. Every later frame carries an HMAC over both
 * nonces, the direction and a frame counter, so that a frame recorded on another connection, or repeated on this one,
 * is refused. Frames are not encrypted.
 */
class SecureChannel {
public:
    /** @param nonce at least 16 random bytes. */
    SecureChannel(std::string secret, MemberId self, std::string nonce, bool initiator);

    /** @brief First frame to send. */
    std::string hello() const;
    /** @brief Takes the other side's hello. Errors: `UNAUTHENTICATED`. */
    absl::Status acceptHello(std::string_view frame);
    bool established() const { return !m_remoteNonce.empty(); }
    /** @brief Member at the other end; valid once established. */
    const MemberId& remote() const { return m_remote; }

    /** @brief Adds the authentication tag. Requires established(). */
    std::string seal(std::string_view message);
    /** @brief Checks and removes the tag. Errors: `UNAUTHENTICATED`. */
    absl::StatusOr<std::string> open(std::string_view frame);

private:
    std::string tag(bool fromInitiator, std::uint64_t counter, std::string_view message) const;

    std::string m_secret;
    MemberId m_self;
    std::string m_nonce;
    bool m_initiator;
    MemberId m_remote;
    std::string m_remoteNonce; // empty until the hello of the other side was accepted
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
};

/** @brief Adds an HMAC to a datagram. Replays are recognised by the sequence number inside. */
std::string sealDatagram(std::string_view secret, std::string_view message);
/** @brief Inverse of sealDatagram(). Errors: `UNAUTHENTICATED`. */
absl::StatusOr<std::string> openDatagram(std::string_view secret, std::string_view datagram);

} // namespace lycheeledge
