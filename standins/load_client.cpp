// Load generator: submits work of several teams in an open loop and checks every response.

#include "LoadHistory.h"
#include "LoadPlan.h"
#include "LoadReport.h"
#include "LoadRun.h"

#include <lycheeledge/daemon/EventLoop.h>
#include <lycheeledge/transport/HttpClient.h>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <future>
#include <iostream>
#include <optional>
#include <set>
#include <sstream>

// NOLINTBEGIN(bugprone-dynamic-static-initializers)

DEFINE_string(entries, "http://127.0.0.1:8080", "URLs of the entry processes, separated by commas");
DEFINE_string(teams, "", "teams as TEAM:KEY or TEAM:KEY:WEIGHT, separated by commas");
DEFINE_string(zones, "", "preferred zones, separated by commas; none if empty");
DEFINE_string(
    workers_history, "", "URLs of workers, separated by commas; http://HOST:FIRST-LAST selects a range of ports");
DEFINE_uint64(seed, 1, "seed of the plan");
DEFINE_string(label, "", "prefix of the request ids; derived from the seed if empty");
DEFINE_double(rate, 100, "submissions per second");
DEFINE_double(seconds, 10, "length of the run");
DEFINE_double(batch_part, 0.1, "fraction of the submissions that are batch jobs");
DEFINE_double(service_part, 0.01, "fraction of the submissions that are services");
DEFINE_double(urgent_part, 0.02, "fraction of the requests that are urgent");
DEFINE_double(repeatable_part, 0.5, "fraction of the submissions that may be executed more than once");
DEFINE_double(gang_part, 0.2, "fraction of the batch jobs that start all tasks together");
DEFINE_uint32(max_tasks, 4, "largest number of tasks of a batch job");
DEFINE_int64(request_run_ms, 50, "mean run time of a request");
DEFINE_int64(batch_run_ms, 1000, "mean run time of a task of a batch job");
DEFINE_int64(deadline_ms, 2000, "deadline of requests");
DEFINE_int64(cpu, 1000, "mean size of a task, in millicores");
DEFINE_int64(memory_mb, 1024, "mean size of a task, in MB of memory");
DEFINE_double(drain_seconds, 30, "time for jobs to end after the last submission");
DEFINE_double(give_up_seconds, 20, "time after which an unanswered submission counts as lost");
DEFINE_int64(call_timeout_ms, 8000, "timeout of one call, after which another address is tried");
DEFINE_bool(json, false, "print the summary as JSON");

DEFINE_bool(events, false, "print the events of the run as JSON lines for history_check, and the summary to stderr");
DEFINE_string(
    worker_capacity, "", "capacity of each worker as CPU:MEMORY:ACCELERATORS:SLOTS:CONNECTIONS, for --events");

// NOLINTEND(bugprone-dynamic-static-initializers)

using namespace lycheeledge;
using namespace lycheeledge::standin;

namespace {

constexpr int exitUsage = 2;

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, separator);) {
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

Duration seconds(double n) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(n)); }

std::vector<LoadTeam> parseTeams(const std::string& text)
{
    std::vector<LoadTeam> teams;
    for (const auto& part : split(text, ',')) {
        const auto fields = split(part, ':');
        if (fields.size() < 2 || fields.size() > 3)
            return {};
        teams.push_back({ TeamId(fields[0]), fields[1], fields.size() == 3 ? std::stod(fields[2]) : 1.0 });
    }
    return teams;
}

/** @brief Expands `http://HOST:FIRST-LAST` into one URL for each port. */
std::vector<std::string> expandPorts(const std::string& text)
{
    std::vector<std::string> urls;
    for (const auto& part : split(text, ',')) {
        const auto dash = part.rfind('-');
        const auto colon = part.rfind(':');
        if (dash == std::string::npos || colon == std::string::npos || dash < colon) {
            urls.push_back(part);
            continue;
        }
        const int last = std::stoi(part.substr(dash + 1));
        for (int port = std::stoi(part.substr(colon + 1, dash - colon - 1)); port <= last; ++port)
            urls.push_back(fmt::format("{}:{}", part.substr(0, colon), port));
    }
    return urls;
}

LoadSettings planSettings()
{
    LoadSettings settings;
    settings.teams = parseTeams(FLAGS_teams);
    settings.zones = split(FLAGS_zones, ',');
    settings.seed = FLAGS_seed;
    settings.label = FLAGS_label.empty() ? fmt::format("load{}", FLAGS_seed) : FLAGS_label;
    settings.rate = FLAGS_rate;
    settings.length = seconds(FLAGS_seconds);
    settings.batchPart = FLAGS_batch_part;
    settings.servicePart = FLAGS_service_part;
    settings.urgentPart = FLAGS_urgent_part;
    settings.repeatablePart = FLAGS_repeatable_part;
    settings.gangPart = FLAGS_gang_part;
    settings.maxTasks = FLAGS_max_tasks;
    settings.requestRunTime = std::chrono::milliseconds(FLAGS_request_run_ms);
    settings.batchRunTime = std::chrono::milliseconds(FLAGS_batch_run_ms);
    settings.deadline = std::chrono::milliseconds(FLAGS_deadline_ms);
    settings.milliCpu = FLAGS_cpu;
    settings.memoryMb = FLAGS_memory_mb;
    return settings;
}

/** @brief Fetches the histories of all workers. @return nothing if one cannot be read. */
std::optional<LoadHistory> readHistory(HttpClient& client, const std::vector<std::string>& workers)
{
    LoadHistory history;
    for (const auto& worker : workers) {
        std::promise<HttpResult> response;
        client.send({ "GET", worker + "/history", {}, "" }, std::chrono::seconds(10),
            [&response](HttpResult it) { response.set_value(std::move(it)); });
        const HttpResult result = response.get_future().get();
        const auto nowUs
            = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch())
                  .count();
        if (!result.status.ok() || result.response.status != 200 || !history.add(result.response.body, nowUs)) {
            std::cerr << fmt::format("load_client: cannot read the history of worker {}: {}\n", worker,
                std::string(result.status.message()));
            return std::nullopt;
        }
    }
    return history;
}

/** @brief Prints the events that callers and workers observed. */
void printEvents(LoadRun& run, const LoadSettings& plan, const LoadHistory& history)
{
    auto& events = run.events();
    for (const auto& team : plan.teams)
        events.keyCreated(team.key, team.id);
    std::set<std::string> workers;
    for (const auto& record : run.records())
        events.taskRuns(history, record.planned.spec, workers);
    const auto capacityFields = split(FLAGS_worker_capacity, ':');
    if (capacityFields.size() == 5) {
        const Resources capacity { std::stoll(capacityFields[0]), std::stoll(capacityFields[1]),
            std::stoll(capacityFields[2]), std::stoll(capacityFields[3]), std::stoll(capacityFields[4]) };
        for (const auto& worker : workers)
            events.workerCapacity(worker, capacity);
    }
    for (const auto& line : events.lines())
        std::cout << line << '\n';
}

int runLoad(const LoadSettings& plan)
{
    LoadRunSettings settings;
    settings.entries = split(FLAGS_entries, ',');
    for (const auto& team : plan.teams)
        settings.keys.push_back(team.key);
    settings.drain = seconds(FLAGS_drain_seconds);
    settings.giveUp = seconds(FLAGS_give_up_seconds);
    settings.callTimeout = std::chrono::milliseconds(FLAGS_call_timeout_ms);
    settings.seed = plan.seed;
    settings.recordEvents = FLAGS_events;
    if (settings.entries.empty() || plan.teams.empty() || plan.rate <= 0) {
        std::cerr << "load_client: --entries, --teams and a positive --rate are required, see --help\n";
        return exitUsage;
    }

    EventLoop loop(plan.seed);
    HttpClientSettings clientSettings;
    clientSettings.maxConnectionsPerHost = 4096; // each request in progress holds a connection
    HttpClient client(clientSettings);
    auto submissions = LoadPlanner(plan).plan();
    std::cerr << fmt::format(
        "load_client: seed {}, label {}, {} submissions\n", plan.seed, plan.label, submissions.size());
    LoadRun run(loop, client, std::move(settings), std::move(submissions));
    run.start();
    loop.run();

    const auto workers = expandPorts(FLAGS_workers_history);
    const auto history = readHistory(client, workers);
    const LoadReport report(run.records(), history.value_or(LoadHistory()), history && !workers.empty());
    if (FLAGS_events)
        printEvents(run, plan, history.value_or(LoadHistory()));
    (FLAGS_events ? std::cerr : std::cout) << (FLAGS_json ? report.json() : report.table());
    return report.ok() && history ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Submits work of several teams and checks every response. Exits with 1 if work was lost, "
                            "answered wrongly, started again although not repeatable, or run twice at the same time, "
                            "if started work was reported as not run, or if a worker history cannot be read.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return runLoad(planSettings());
}
