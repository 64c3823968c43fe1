// Reads the platform's VM list over HTTP.

#include "HttpVmDirectory.h"

#include "../transport/Url.h"
#include "JsonObject.h"
#include "StateJson.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <glog/logging.h>

#include <map>
#include <utility>

namespace lycheeledge {

namespace {

    WorkerDescription readVm(const JsonFields& fields)
    {
        WorkerDescription result;
        result.id = VmId(fields.text("id"));
        result.address = { fields.text("host"), fields.port("port") };
        result.zone = ZoneId(fields.optionalText("zone"));
        result.rack = RackId(fields.optionalText("rack"));
        const std::string state = fields.text("state");
        if (state != "live" && state != "leaving")
            fields.fail("state", "is neither live nor leaving");
        result.leaving = state == "leaving";
        result.capacity = readResources(fields.object("capacity"));
        if (!isHeaderValue(result.id.value()) || !detail::isUtf8(result.id.value()))
            fields.fail("id", "is empty or not printable");
        if (!isHost(result.address.host))
            fields.fail("host", "is not a host");
        if (!detail::isUtf8(result.zone.value()) || !detail::isUtf8(result.rack.value()))
            fields.fail("zone", "or rack is not valid UTF-8");
        return result;
    }

    struct VmList {
        std::vector<WorkerDescription> vms;
        std::vector<std::string> problems; ///< of elements that were left out
    };

    /** @brief Reads the valid elements. Of several with the same id it is unknown which one is right. */
    VmList readVms(const rapidjson::Value& elements)
    {
        VmList result;
        std::map<VmId, std::size_t> idCounts;
        for (const auto& element : elements.GetArray()) {
            absl::Status problem;
            WorkerDescription vm
                = readVm(JsonFields(element, absl::StrCat("list.vms[", &element - elements.Begin(), "]"), problem));
            if (problem.ok()) {
                ++idCounts[vm.id];
                result.vms.push_back(std::move(vm));
            } else {
                result.problems.emplace_back(problem.message());
            }
        }
        std::erase_if(result.vms, [&idCounts](const auto& vm) { return idCounts.at(vm.id) > 1; });
        for (const auto& [id, count] : idCounts) {
            if (count > 1)
                result.problems.push_back(absl::StrCat("id ", id.value(), " occurs ", count, " times"));
        }
        return result;
    }

    absl::StatusOr<VmList> readVmList(const std::string& body)
    {
        rapidjson::Document document;
        if (const auto status = parseJsonList(body, document); !status.ok())
            return status;
        // A response without the field is an error and must not be treated as an empty fleet.
        const auto* elements = detail::member(document, "vms");
        if (elements == nullptr || !elements->IsArray())
            return absl::InvalidArgumentError("list.vms is missing or not an array");
        VmList result = readVms(*elements);
        if (result.vms.empty() && !result.problems.empty())
            return absl::InvalidArgumentError(result.problems.front());
        return result;
    }

    void writeVm(JsonWriter& writer, const WorkerDescription& vm)
    {
        writer.StartObject();
        writeText(writer, "id", vm.id.value());
        writeText(writer, "host", vm.address.host);
        writeInteger(writer, "port", vm.address.port);
        writeText(writer, "zone", vm.zone.value());
        writeText(writer, "rack", vm.rack.value());
        writeText(writer, "state", vm.leaving ? "leaving" : "live");
        writeResources(writer, "capacity", vm.capacity);
        writer.EndObject();
    }

    absl::StatusOr<std::vector<WorkerDescription>> decodeResult(
        const HttpResult& result, std::vector<std::string>& loggedProblems)
    {
        if (absl::IsDeadlineExceeded(result.status))
            return absl::DeadlineExceededError(absl::StrCat("VM list: ", result.status.message()));
        if (!result.status.ok())
            return absl::UnavailableError(absl::StrCat("VM list: ", result.status.message()));
        if (result.response.status != 200)
            return absl::UnavailableError(absl::StrCat("VM list: answered with status ", result.response.status));
        auto decoded = readVmList(result.response.body);
        if (!decoded.ok())
            return absl::UnavailableError(absl::StrCat("VM list: ", decoded.status().message()));
        if (!decoded->problems.empty() && decoded->problems != loggedProblems)
            LOG(WARNING) << "[worker] VMs left out of the list: " << absl::StrJoin(decoded->problems, "; ");
        loggedProblems = std::move(decoded->problems);
        return std::move(decoded->vms);
    }

} // namespace

HttpVmDirectory::HttpVmDirectory(HttpClient& client, CompletionExecutor& executor, VmDirectorySettings settings)
    : m_client(client)
    , m_executor(executor)
    , m_settings(std::move(settings))
    , m_loggedProblems(std::make_shared<std::vector<std::string>>())
{
}

void HttpVmDirectory::list(Callback done)
{
    HttpRequest request;
    request.target = m_settings.url;
    if (!m_settings.clientName.empty())
        request.headers["x-client"] = m_settings.clientName;
    m_client.send(std::move(request), m_settings.timeout,
        [&executor = m_executor, logged = m_loggedProblems, done = std::move(done)](const HttpResult& result) {
            executor.execute([done, list = decodeResult(result, *logged)]() mutable { done(std::move(list)); });
        });
}

absl::StatusOr<std::vector<WorkerDescription>> decodeVmList(const std::string& body)
{
    auto list = readVmList(body);
    if (!list.ok())
        return list.status();
    return std::move(list->vms);
}

std::string encodeVm(const WorkerDescription& vm)
{
    rapidjson::StringBuffer buf;
    JsonWriter writer(buf);
    writeVm(writer, vm);
    return { buf.GetString(), buf.GetSize() };
}

std::string encodeVmList(const std::vector<WorkerDescription>& vms)
{
    rapidjson::StringBuffer buf;
    JsonWriter writer(buf);
    writer.StartObject();
    writer.Key("vms");
    writer.StartArray();
    for (const auto& vm : vms)
        writeVm(writer, vm);
    writer.EndArray();
    writer.EndObject();
    return { buf.GetString(), buf.GetSize() };
}

} // namespace lycheeledge
