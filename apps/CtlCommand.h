// The words of the command line, and generated ids.
#pragma once

#include <lycheeledge/protocol/ApiSchema.h>

#include <absl/strings/escaping.h>
#include <openssl/rand.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::ctl {

/** @brief Random text of 32 hexadecimal digits. */
inline std::string randomText()
{
    std::array<unsigned char, 16> buf {};
    if (RAND_bytes(buf.data(), static_cast<int>(buf.size())) != 1)
        return {};
    return absl::BytesToHexString({ reinterpret_cast<const char*>(buf.data()), buf.size() });
}

/** @brief A command as given by its words, for example `team set` or `explain JOB`. */
struct Command {
    std::string method; ///< of the schema
    std::string job; ///< request id given as a word
    bool explain = false; ///< print only the reason

    bool operator==(const Command&) const = default;
};

/** @brief Interprets the words of the command line. @return nothing if there is no such command. */
inline std::optional<Command> parseCommand(const std::vector<std::string>& words, const ApiSchema& schema)
{
    if (words.empty())
        return std::nullopt;
    std::vector<std::string> rest(words);
    const bool isShort = words[0] == "submit" || words[0] == "status" || words[0] == "cancel" || words[0] == "explain";
    if (isShort)
        rest.insert(rest.begin(), "work");
    if (rest.size() < 2 || rest.size() > 3)
        return std::nullopt;
    Command command { rest[0] + "." + rest[1], rest.size() == 3 ? rest[2] : std::string(), false };
    if (command.method == "work.explain") {
        command.method = "work.status";
        command.explain = true;
    }
    const bool takesJob = command.method == "work.status" || command.method == "work.cancel";
    if (!schema.hasMethod(command.method) || (!command.job.empty() && !takesJob))
        return std::nullopt;
    return command;
}

} // namespace lycheeledge::ctl
