// Command-line flags of lycheectl. A parameter of the API is set by the flag with its name in snake case.
#pragma once

#include <gflags/gflags.h>

#include <string>
#include <string_view>
#include <vector>

// NOLINTBEGIN(bugprone-dynamic-static-initializers)

DEFINE_string(server, "http://127.0.0.1:8080", "server URLs, separated by commas, tried in this order");
DEFINE_string(key, "", "key as <key id>.<secret>; taken from the environment variable LYCHEELEDGE_KEY if empty");
DEFINE_bool(json, false, "print the result as JSON");
DEFINE_int32(timeout_ms, 30000, "timeout in ms of the whole call, including retries");
DEFINE_int32(call_timeout_ms, 15000, "timeout in ms of one attempt");

DEFINE_string(id, "", "id of the team, key, queue or VM");
DEFINE_string(team, "", "team");
DEFINE_string(request_id, "", "id of the work within its team; generated for submit if empty");
DEFINE_string(queue, "", "queue");
DEFINE_string(kind, "", "request, batch or service");
DEFINE_int64(cpu, 0, "size: millicores");
DEFINE_int64(memory_mb, 0, "size: memory in MB");
DEFINE_int64(accelerators, 0, "size: accelerators");
DEFINE_int64(slots, 0, "size: slots");
DEFINE_int64(connections, 0, "size: connections");
DEFINE_int64(tasks, 1, "number of tasks");
DEFINE_bool(all_together, false, "start all tasks together or none of them");
DEFINE_bool(repeatable, false, "the work may be executed more than once");
DEFINE_bool(urgent, false, "the work is urgent");
DEFINE_int64(deadline_ms, 0, "time in ms until the caller gives up; 0 for none");
DEFINE_int64(expected_run_ms, 0, "expected run time of a task in ms; 0 if unknown");
DEFINE_string(zone, "", "preferred zone");
DEFINE_int64(attempt, 0, "attempt number of this request id, counted from 1; 0 if not declared");
DEFINE_string(payload, "", "text passed to each task");
DEFINE_double(share, 1.0, "weight of a team relative to the others");
DEFINE_int64(limit_cpu, 0, "upper limit of a team: millicores");
DEFINE_int64(limit_memory_mb, 0, "upper limit of a team: memory in MB");
DEFINE_int64(limit_accelerators, 0, "upper limit of a team: accelerators");
DEFINE_int64(limit_slots, 0, "upper limit of a team: slots");
DEFINE_int64(limit_connections, 0, "upper limit of a team: connections");
DEFINE_int64(max_running_tasks, 0, "upper limit of a team: tasks running at once; 0 for unlimited");
DEFINE_string(role, "caller", "role of a key: caller or operator");
DEFINE_string(secret, "", "secret of a new key; generated if empty");
DEFINE_bool(open_to_all, false, "the queue accepts work without a key of its team");
DEFINE_int64(max_attempts, 3, "maximum number of attempts for work of this kind");
DEFINE_bool(preemptible, false, "work of this kind may be preempted");
DEFINE_int64(max_queued_per_team, 10000, "maximum queue length of a team for work of this kind");
DEFINE_bool(drained, true, "whether the VM is drained");
DEFINE_string(cell, "", "cell");
DEFINE_string(idempotency_key, "", "identifies a change across retries; generated if empty");
DEFINE_int64(expected_version, 0, "version that the entity must have; 0 requires that it does not exist");

// NOLINTEND(bugprone-dynamic-static-initializers)

namespace lycheeledge::ctl {

/** @brief Name of the flag that sets a parameter, for example `deadline_ms` for `deadlineMs`. */
inline std::string flagName(std::string_view parameter)
{
    std::string name;
    for (const char c : parameter) {
        if (c >= 'A' && c <= 'Z')
            name += '_';
        name += c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }
    return name;
}

/** @brief Flags defined in this file, without those of libraries. */
inline std::vector<gflags::CommandLineFlagInfo> ctlFlags()
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    std::erase_if(flags, [](const auto& flag) { return flag.filename.find("CtlFlags.h") == std::string::npos; });
    return flags;
}

/** @brief Whether a flag was given on the command line. */
inline bool isFlagGiven(const std::string& flag)
{
    gflags::CommandLineFlagInfo info;
    return gflags::GetCommandLineFlagInfo(flag.c_str(), &info) && !info.is_default;
}

} // namespace lycheeledge::ctl
