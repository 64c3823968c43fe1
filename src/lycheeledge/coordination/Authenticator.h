// Checks keys and decides for which team work is accepted.
#pragma once

#include "../state/Configuration.h"
#include "../state/Outcome.h"
#include "../state/Work.h"

#include <optional>
#include <string>
#include <string_view>

namespace lycheeledge {

class Membership;

/** @brief Whom a key stands for. */
struct Identity {
    KeyId key;
    KeyRole role = KeyRole::Caller;
    TeamId team; ///< empty for operators

    bool operator==(const Identity&) const = default;
};

/** @brief Result of checking a key. */
struct AuthenticationResult {
    ErrorKind error = ErrorKind::None;
    std::string message;
    Identity identity; ///< empty on an error

    bool operator==(const AuthenticationResult&) const = default;
    bool ok() const { return error == ErrorKind::None; }
};

/** @brief Result of authorising a submission. */
struct SubmitAuthorization {
    ErrorKind error = ErrorKind::None;
    std::string message;
    std::string field; ///< field of the submission at fault, if any
    TeamId team; ///< team that the work counts against
    bool outsider = false; ///< accepted by an open queue without a key of the team

    bool operator==(const SubmitAuthorization&) const = default;
    bool ok() const { return error == ErrorKind::None; }
};

/** @brief Checks keys of the form `<key id>.<secret>` against the configuration in force. */
class Authenticator {
public:
    /** @param bootstrapKey operators' key from the settings, which works besides those in the store. */
    explicit Authenticator(const Membership& membership, std::optional<Key> bootstrapKey = std::nullopt);

    /** @brief Checks a key. Errors: Unauthenticated; Unavailable while the configuration is not fresh. */
    AuthenticationResult authenticate(std::string_view key) const;
    /** @brief Checks an operator's key. Errors: those of authenticate(), WrongTeam for callers' keys. */
    AuthenticationResult authenticateOperator(std::string_view key) const;
    /**
     * @brief Decides whether work is accepted and for which team.
     *
     * Work is accepted only for the team of the key. A queue that is open to all also takes work without a key or
     * with any valid key; that work counts against the queue's team.
     * @param key empty if none came with the submission. Errors: those of authenticate(), WrongTeam, NotFound.
     */
    SubmitAuthorization authorizeSubmit(std::string_view key, const WorkSpec& spec) const;

private:
    const Key* findKey(const KeyId& id) const;

    const Membership& m_membership;
    const std::optional<Key> m_bootstrapKey;
};

} // namespace lycheeledge
