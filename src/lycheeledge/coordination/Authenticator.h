// Authentication of keys and authorization of submissions.
#pragma once

#include "../state/Configuration.h"
#include "../state/Outcome.h"
#include "../state/Work.h"

#include <optional>
#include <string>
#include <string_view>

namespace lycheeledge {

class Membership;

/** @brief Identity that a key authenticates. */
struct Identity {
    KeyId key;
    KeyRole role = KeyRole::Caller;
    TeamId team; ///< empty for operators

    bool operator==(const Identity&) const = default;
};

/** @brief Result of authenticating a key. */
struct AuthenticationResult {
    ErrorKind error = ErrorKind::None;
    std::string message;
    Identity identity; ///< empty on an error

    bool operator==(const AuthenticationResult&) const = default;
    bool ok() const { return error == ErrorKind::None; }
};

/** @brief Result of authorizing a submission. */
struct SubmitAuthorization {
    ErrorKind error = ErrorKind::None;
    std::string message;
    std::string field; ///< invalid field of the submission, if any
    TeamId team; ///< team that the work counts against
    bool viaOpenQueue = false; ///< accepted through an open queue without a key of the queue's team

    bool operator==(const SubmitAuthorization&) const = default;
    bool ok() const { return error == ErrorKind::None; }
};

/** @brief Authenticates keys of the form `<key id>.<secret>` against the configuration in force. */
class Authenticator {
public:
    /** @param bootstrapKey operators' key from the settings, valid in addition to the keys in the store. */
    explicit Authenticator(const Membership& membership, std::optional<Key> bootstrapKey = std::nullopt);

    /** @brief Authenticates a key. Errors: Unauthenticated; Unavailable while the configuration is not fresh. */
    AuthenticationResult authenticate(std::string_view key) const;
    /** @brief Authenticates an operator's key. Errors: those of authenticate(); WrongTeam for a caller's key. */
    AuthenticationResult authenticateOperator(std::string_view key) const;
    /**
     * @brief Decides whether work is accepted and for which team.
     *
     * Work is accepted only for the team of the key. A queue that is open to all also takes work without a key or
     * with any valid key; that work counts against the queue's team.
     * Errors: those of authenticate(), WrongTeam, NotFound.
     * @param key empty if the submission has none.
     */
    SubmitAuthorization authorizeSubmit(std::string_view key, const WorkSpec& spec) const;

private:
    const Key* findKey(const KeyId& id) const;

    const Membership& m_membership;
    const std::optional<Key> m_bootstrapKey;
};

} // namespace lycheeledge
