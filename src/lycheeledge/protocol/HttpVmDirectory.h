// Reads the platform's VM list over HTTP.
#pragma once

#include "../coordination/VmDirectory.h"
#include "../transport/HttpClient.h"
#include "CompletionExecutor.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace lycheeledge {

struct VmDirectorySettings {
    std::string url; ///< URL of the list, for example `http://127.0.0.1:8000/v1/vms`
    std::string clientName; ///< sent as `x-client`
    std::chrono::milliseconds timeout { 2000 };

    bool operator==(const VmDirectorySettings&) const = default;
};

/**
 * @brief Requests `GET /v1/vms`.
 *
 * `client` and `executor` must outlive this object, and `executor` must outlive `client`.
 */
class HttpVmDirectory final : public VmDirectory {
public:
    HttpVmDirectory(HttpClient& client, CompletionExecutor& executor, VmDirectorySettings settings);

    void list(Callback done) override;

private:
    HttpClient& m_client;
    CompletionExecutor& m_executor;
    VmDirectorySettings m_settings;
    std::shared_ptr<std::vector<std::string>> m_loggedProblems; ///< used on the client's thread
};

/**
 * @brief Decodes the list without the VMs that are invalid or whose id occurs twice.
 *
 * Errors: `INVALID_ARGUMENT`, also if there are VMs and none is valid.
 */
absl::StatusOr<std::vector<WorkerDescription>> decodeVmList(const std::string& body);
/** @brief Encodes one VM, as an element of the list. */
std::string encodeVm(const WorkerDescription& vm);
/** @brief Encodes the list as the platform sends it. */
std::string encodeVmList(const std::vector<WorkerDescription>& vms);

} // namespace lycheeledge
