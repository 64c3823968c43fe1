// Authenticates the frames of a connection between entry processes.

#include "SecureChannel.h"

#include "../transport/Hmac.h"

#include <fmt/format.h>

#include <utility>

namespace lycheeledge {

namespace {

    constexpr std::size_t nonceBytes = 16;
    // Distinct prefixes of the HMAC input, so that a tag made for one purpose is not valid for another.
    constexpr std::string_view helloLabel = "lycheeledge-hello";
    constexpr std::string_view frameLabel = "lycheeledge-frame";
    constexpr std::string_view datagramLabel = "lycheeledge-datagram";

} // namespace

SecureChannel::SecureChannel(std::string secret, MemberId self, std::string nonce, bool initiator)
    : m_secret(std::move(secret))
    , m_self(std::move(self))
    , m_nonce(nonce.substr(0, nonceBytes))
    , m_initiator(initiator)
{
}

std::string SecureChannel::hello() const
{
    const std::string body = m_nonce + m_self.value();
    return hmacSha256(m_secret, fmt::format("{}{}{}", helloLabel, m_initiator ? "i" : "r", body)) + body;
}

absl::Status SecureChannel::acceptHello(std::string_view frame)
{
    if (frame.size() <= hmacLength + nonceBytes)
        return absl::UnauthenticatedError("hello is too short");
    const std::string_view body = frame.substr(hmacLength);
    const std::string expected = hmacSha256(m_secret, fmt::format("{}{}{}", helloLabel, m_initiator ? "r" : "i", body));
    if (!constantTimeEqual(expected, frame.substr(0, hmacLength)))
        return absl::UnauthenticatedError("hello has a wrong authentication tag");
    m_remoteNonce = std::string(body.substr(0, nonceBytes));
    m_remote = MemberId(std::string(body.substr(nonceBytes)));
    return absl::OkStatus();
}

std::string SecureChannel::seal(std::string_view message)
{
    return tag(m_initiator, m_sentFrames++, message).append(message);
}

absl::StatusOr<std::string> SecureChannel::open(std::string_view frame)
{
    if (!established() || frame.size() < hmacLength)
        return absl::UnauthenticatedError("frame is too short");
    const std::string_view message = frame.substr(hmacLength);
    if (!constantTimeEqual(tag(!m_initiator, m_receivedFrames, message), frame.substr(0, hmacLength)))
        return absl::UnauthenticatedError("frame has a wrong authentication tag");
    ++m_receivedFrames;
    return std::string(message);
}

std::string SecureChannel::tag(bool fromInitiator, std::uint64_t counter, std::string_view message) const
{
    const std::string_view initiatorNonce = m_initiator ? m_nonce : m_remoteNonce;
    const std::string_view responderNonce = m_initiator ? m_remoteNonce : m_nonce;
    return hmacSha256(m_secret,
        fmt::format(
            "{}{}{}{}{}:{}", frameLabel, initiatorNonce, responderNonce, fromInitiator ? "i" : "r", counter, message));
}

std::string sealDatagram(std::string_view secret, std::string_view message)
{
    return hmacSha256(secret, fmt::format("{}{}", datagramLabel, message)).append(message);
}

absl::StatusOr<std::string> openDatagram(std::string_view secret, std::string_view datagram)
{
    if (datagram.size() < hmacLength)
        return absl::UnauthenticatedError("datagram is too short");
    const std::string_view message = datagram.substr(hmacLength);
    const std::string expected = hmacSha256(secret, fmt::format("{}{}", datagramLabel, message));
    if (!constantTimeEqual(expected, datagram.substr(0, hmacLength)))
        return absl::UnauthenticatedError("datagram has a wrong authentication tag");
    return std::string(message);
}

} // namespace lycheeledge
