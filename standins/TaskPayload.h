// Payload of a task, which tells the stand-in workers what to simulate.
#pragma once

#include <lycheeledge/protocol/JsonFields.h>
#include <lycheeledge/state/Time.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace lycheeledge::standin {

/** @brief Decoded payload: `{"runMs":n,"bodyBytes":n,"fail":bool,"seed":n}`. */
struct TaskPayload {
    std::optional<Duration> runTime; ///< absent if the task runs until it is stopped
    std::size_t bodyBytes = 0; ///< length of the result body
    bool fail = false; ///< whether the task fails at its end
    std::uint64_t seed = 0; ///< of the result body

    bool operator==(const TaskPayload&) const = default;
};

/** @brief Decodes a payload. Errors: `INVALID_ARGUMENT`. */
inline absl::StatusOr<TaskPayload> decodePayload(const std::string& text)
{
    constexpr std::int64_t maxRunMs = 7LL * 24 * 3600 * 1000;
    constexpr std::int64_t maxBodyBytes = 256 << 20;
    rapidjson::Document document;
    absl::Status status = parseJson(text, document);
    if (!status.ok())
        return status;
    const JsonFields fields(document, "payload", status);
    TaskPayload result;
    if (fields.has("runMs")) {
        const std::int64_t ms = fields.amount("runMs");
        if (ms > maxRunMs)
            fields.fail("runMs", "is out of range");
        else
            result.runTime = std::chrono::milliseconds(ms);
    }
    const std::int64_t bytes = fields.amount("bodyBytes");
    if (bytes > maxBodyBytes)
        fields.fail("bodyBytes", "is out of range");
    result.bodyBytes = static_cast<std::size_t>(bytes);
    result.fail = fields.boolean("fail");
    result.seed = fields.uint64("seed");
    if (!status.ok())
        return status;
    return result;
}

/** @brief Result body of a task: `bodyBytes` printable characters that depend only on the seed. */
inline std::string makeBody(const TaskPayload& payload)
{
    constexpr std::size_t charactersPerDraw = 8;
    std::mt19937_64 random(payload.seed);
    std::string body(payload.bodyBytes, '\0');
    std::uint64_t bits = 0;
    for (std::size_t n = 0; n < body.size(); ++n) {
        bits = n % charactersPerDraw == 0 ? random() : bits >> 8;
        body[n] = static_cast<char>('a' + bits % 16);
    }
    return body;
}

} // namespace lycheeledge::standin
