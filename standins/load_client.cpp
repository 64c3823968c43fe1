// Callers of several teams: offers load in an open loop and checks every answer.

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
DEFINE_string(workers_history, "", "URLs of workers, separated by commas; http://HOST:FIRST-LAST names several ports");
DEFINE_uint64(seed, 1, "seed of the plan");
DEFINE_string(label, "", "prefix of the request ids; derived from the seed if empty");
DEFINE_double(rate, 100, "submissions a second");
DEFINE_double(seconds, 10, "length of the run");
DEFINE_double(batch_part, 0.1, "part of the submissions that are batch jobs");
DEFINE_double(service_part, 0.01, "part of the submissions that are services");
DEFINE_double(urgent_part, 0.02, "part of the requests that are urgent");
DEFINE_double(repeatable_part, 0.5, "part of the submissions that may be executed more than once");
DEFINE_double(gang_part, 0.2, "part of the batch jobs that start all tasks together");
DEFINE_uint32(max_tasks, 4, "largest number of tasks of a batch job");
DEFINE_int64(request_run_ms, 50, "mean run time of a request");
DEFINE_int64(batch_run_ms, 1000, "mean run time of a task of a batch job");
DEFINE_int64(deadline_ms, 2000, "deadline of requests");
DEFINE_int64(cpu, 1000, "mean size of a task, in millicores");
DEFINE_int64(memory_mb, 1024, "mean size of a task, in MB of memory");
DEFINE_double(drain_seconds, 30, "time for jobs to end after the last submission");
DEFINE_double(give_up_seconds, 20, "time after which an unanswered submission counts as lost");
DEFINE_int64(call_timeout_ms, 8000, "time to wait for one answer before another address is tried");
DEFINE_bool(json, false, "print the figures as JSON");

DEFINE_bool(events, false, "print the events of the run as JSON lines for history_check, and the figures to stderr");
DEFINE_string(
    worker_capacity, "", "capacity of each worker as CPU:MEMORY:ACCELERATORS:SLOTS:CONNECTIONS, for --events");

// NOLINTEND(bugprone-dynamic-static-initializers)

using namespace lycheeledge;
using namespace lycheeledge::standin;

namespace {

constexpr int wrongUsage = 2;

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

/** @brief Reads the history of all workers. @return nothing if one cannot be read. */
std::optional<LoadHistory> readHistory(HttpClient& client, const std::vector<std::string>& workers)
{
    LoadHistory history;
    for (const auto& worker : workers) {
        std::promise<HttpResult> answered;
        client.send({ "GET", worker + "/history", {}, "" }, std::chrono::seconds(10),
            [&answered](HttpResult it) { answered.set_value(std::move(it)); });
        const HttpResult result = answered.get_future().get();
        const auto nowUs
            = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch())
                  .count();
        if (!result.status.ok() || result.response.status != 200 || !history.add(result.response.body, nowUs)) {
            std::cerr << fmt::format(
                "load_client: no history from {}: {}\n", worker, std::string(result.status.message()));
            return std::nullopt;
        }
    }
    return history;
}

/** @brief Prints what callers and workers saw. */
void printEvents(LoadRun& run, const LoadSettings& plan, const LoadHistory& history)
{
    auto& events = run.events();
    for (const auto& team : plan.teams)
        events.keyGiven(team.key, team.id);
    std::set<std::string> workers;
    for (const auto& record : run.records())
        events.history(history, record.item.spec, workers);
    const auto amounts = split(FLAGS_worker_capacity, ':');
    if (amounts.size() == 5) {
        const Resources capacity { std::stoll(amounts[0]), std::stoll(amounts[1]), std::stoll(amounts[2]),
            std::stoll(amounts[3]), std::stoll(amounts[4]) };
        for (const auto& worker : workers)
            events.workerSeen(worker, capacity);
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
        std::cerr << "load_client: --entries, --teams and --rate must be given, see --help\n";
        return wrongUsage;
    }

    EventLoop loop(plan.seed);
    HttpClientSettings clientSettings;
    clientSettings.maxConnectionsPerHost = 4096; // each unanswered request holds a connection
    HttpClient client(clientSettings);
    auto items = LoadPlanner(plan).plan();
    std::cerr << fmt::format("load_client: seed {}, label {}, {} submissions\n", plan.seed, plan.label, items.size());
    LoadRun run(loop, client, std::move(settings), std::move(items));
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
    gflags::SetUsageMessage("Offers load from several teams and checks every answer. Exits with 1 if a submission was "
                            "lost, doubled, answered wrongly, or run twice at once.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return runLoad(planSettings());
}
