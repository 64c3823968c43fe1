// Parses the command words of lycheectl, and generates ids.
#pragma once

#include <lycheeledge/protocol/ApiSchema.h>

#include <absl/strings/escaping.h>
#include <openssl/rand.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::ctl {

/** @brief Random id of 32 hexadecimal digits; empty if no random bytes are available. */
inline std::string randomHexId()
{
    std::array<unsigned char, 16> buf {};
    if (RAND_bytes(buf.data(), static_cast<int>(buf.size())) != 1)
        return {};
    return absl::BytesToHexString({ reinterpret_cast<const char*>(buf.data()), buf.size() });
}

/** @brief Parsed command, for example `team set` or `explain JOB`. */
struct Command {
    std::string method; ///< name in the API schema
    std::string requestId; ///< positional argument; empty if not given
    bool explain = false; ///< print only phase and reason

    bool operator==(const Command&) const = default;
};

/** @brief Parses the positional arguments. @return nothing for an unknown command. */
inline std::optional<Command> parseCommand(const std::vector<std::string>& words, const ApiSchema& schema)
{
    if (words.empty())
        return std::nullopt;
    std::vector<std::string> expanded(words);
    const bool isAlias = words[0] == "submit" || words[0] == "status" || words[0] == "cancel" || words[0] == "explain";
    if (isAlias)
        expanded.insert(expanded.begin(), "work");
    if (expanded.size() < 2 || expanded.size() > 3)
        return std::nullopt;
    Command command { expanded[0] + "." + expanded[1], expanded.size() == 3 ? expanded[2] : std::string(), false };
    if (command.method == "work.explain") {
        command.method = "work.status";
        command.explain = true;
    }
    const bool takesRequestId = command.method == "work.status" || command.method == "work.cancel";
    if (!schema.hasMethod(command.method) || (!command.requestId.empty() && !takesRequestId))
        return std::nullopt;
    return command;
}

} // namespace lycheeledge::ctl
