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
    std::size_t maxBodyBytes = 1048576; ///< of a call
    std::size_t maxConnections = 4096; ///< of callers
    std::size_t maxWaitingCalls = 65536; ///< capacity of the rings between threads
    std::size_t maxConnectionsPerHost = 64; ///< to the platform and to each worker
    std::size_t maxResponseBytes = 67108864; ///< of the platform and of workers

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
    Duration storeRecovery = std::chrono::seconds(2); ///< wait of members that hear from an active owner
    Duration stopLimit = std::chrono::seconds(300);

    bool operator==(const IntervalSettings&) const = default;
};

enum class LogLevel { Info, Warning, Error };

struct Settings {
    MemberId member;
    ZoneId zone;
    Address listen; ///< for callers and operators, HTTP
    std::string certificatePath; ///< of the listener; empty for HTTP without TLS
    std::string keyPath;
    Address peer; ///< for other members, the same port for UDP and TCP
    CellId cell;
    std::vector<ZoneId> cellZones; ///< zones whose workers belong to the cell
    std::string storeUrl;
    std::string vmListUrl;
    std::string caPath; ///< authorities trusted for HTTPS to the platform; empty for those of the system
    std::string clusterSecret; ///< authenticates messages between members
    Key bootstrapKey; ///< operator's key that needs no entry in the store
    LimitSettings limits;
    IntervalSettings intervals;
    LogLevel logLevel = LogLevel::Info;
    std::string traceUrl; ///< empty for no export
    double traceSampleRatio = 0.001; ///< of requests without a trace context of their own
    std::size_t maxSpans = 8192; ///< waiting for export

    bool operator==(const Settings&) const = default;
};

/**
 * @brief Parses JSON with comments and trailing commas.
 * @param file name used in error messages.
 * Errors: `INVALID_ARGUMENT` with file, line and what was expected.
 */
absl::StatusOr<Settings> parseSettings(std::string_view text, std::string_view file);

/** @brief Reads and parses a file. Errors: `NOT_FOUND` or `INVALID_ARGUMENT`. */
absl::StatusOr<Settings> readSettings(const std::string& file);

} // namespace lycheeledge
