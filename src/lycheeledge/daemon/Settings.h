// Settings of lycheeledged. docs/settings.md describes each of them.
#pragma once

#include "../state/Configuration.h"
#include "../state/Ids.h"
#include "../state/Time.h"
#include "../state/Worker.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeledge {

struct LimitSettings {
    std::size_t maxBodyBytes = 1048576; ///< of the body of a call
    std::size_t maxConnections = 4096; ///< from callers
    std::size_t maxRequestMemoryBytes = 33554432; ///< for unfinished requests and unsent responses of all callers
    std::size_t maxWaitingCalls = 65536; ///< capacity of the task queues between threads
    std::size_t maxConnectionsPerHost = 64; ///< to the platform and to each worker
    std::size_t maxResponseBytes = 67108864; ///< of responses from the platform and from workers

    bool operator==(const LimitSettings&) const = default;
};

struct IntervalSettings {
    Duration gossip = std::chrono::milliseconds(200);
    Duration freshnessRead = std::chrono::seconds(1);
    Duration isolation = std::chrono::seconds(3);
    Duration storeLease = std::chrono::seconds(6);
    Duration storeLeaseRenew = std::chrono::seconds(2);
    Duration controllerLease = std::chrono::seconds(3);
    Duration taskLease = std::chrono::seconds(15);
    Duration workerRenew = std::chrono::seconds(1);
    Duration vmList = std::chrono::seconds(1);
    Duration journalCommit = std::chrono::milliseconds(50);
    Duration inForceWait = std::chrono::seconds(10);
    Duration rosterRemoval = std::chrono::seconds(60);
    /// Additional wait before this member claims a cell whose owner still gossips that it is active.
    Duration storeRecovery = std::chrono::seconds(2);
    Duration stopLimit = std::chrono::seconds(300);

    bool operator==(const IntervalSettings&) const = default;
};

enum class LogLevel { Info, Warning, Error };

struct Settings {
    MemberId member;
    ZoneId zone;
    Address listen; ///< HTTP listener for callers and operators
    std::string certificatePath; ///< certificate of the HTTP listener; empty for HTTP without TLS
    std::string keyPath;
    Address peer; ///< listener for other members; UDP and TCP use the same port
    CellId cell;
    std::vector<ZoneId> cellZones; ///< zones whose workers belong to the cell
    std::string storeUrl;
    std::string vmListUrl;
    std::string caPath; ///< CA certificates trusted for HTTPS to the platform; empty for the system's
    std::string clusterSecret; ///< authenticates messages between members
    Key bootstrapKey; ///< operator key that is valid without an entry in the store
    LimitSettings limits;
    IntervalSettings intervals;
    LogLevel logLevel = LogLevel::Info;
    std::string traceUrl; ///< URL to which spans are exported; empty disables the export
    double traceSampleRatio = 0.001; ///< sampled part of the requests that come without a trace context
    std::size_t maxSpans = 8192; ///< largest number of spans buffered for export

    bool operator==(const Settings&) const = default;
};

/**
 * @brief Parses and validates settings in JSON with comments and trailing commas.
 * @param file name for error messages.
 * Errors: `INVALID_ARGUMENT` with the file, the line and the expected value.
 */
absl::StatusOr<Settings> parseSettings(std::string_view text, std::string_view file);

/** @brief Reads a file and parses it. Errors: `NOT_FOUND` if it cannot be opened, or those of parseSettings(). */
absl::StatusOr<Settings> readSettings(const std::string& file);

} // namespace lycheeledge
