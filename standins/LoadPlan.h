// Generates the submissions of a load run in advance from a seed.
#pragma once

#include "TaskPayload.h"

#include <lycheeledge/state/Work.h>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeledge::standin {

/** @brief A team that submits work. */
struct LoadTeam {
    TeamId id;
    std::string key; ///< `<key id>.<secret>`
    double weight = 1.0; ///< part of the submissions, relative to the weights of the other teams

    bool operator==(const LoadTeam&) const = default;
};

struct LoadSettings {
    std::vector<LoadTeam> teams;
    std::vector<std::string> zones; ///< preferred zones, assigned in turn; may be empty
    std::uint64_t seed = 1;
    std::string label; ///< prefix of the request ids; must differ between runs against the same cluster
    double rate = 100; ///< submissions per second, all kinds together
    Duration length = std::chrono::seconds(10); ///< of the run
    double batchPart = 0.1; ///< fraction of the submissions
    double servicePart = 0.01; ///< fraction of the submissions
    double urgentPart = 0.02; ///< fraction of the requests
    double repeatablePart = 0.5; ///< fraction of the submissions that may be executed more than once
    double gangPart = 0.2; ///< fraction of the batch jobs that start all tasks together
    std::uint32_t maxTasks = 4; ///< largest number of tasks of a batch job
    Duration requestRunTime = std::chrono::milliseconds(50); ///< mean of a request
    Duration batchRunTime = std::chrono::milliseconds(1000); ///< mean of a task of a batch job
    Duration deadline = std::chrono::seconds(2); ///< of requests
    std::int64_t milliCpu = 1000; ///< mean size of a task
    std::int64_t memoryMb = 1024; ///< mean size of a task
    std::size_t maxBodyBytes = 2048; ///< of a response body

    bool operator==(const LoadSettings&) const = default;
};

/** @brief One submission of the plan. */
struct PlannedSubmission {
    Duration offset {}; ///< from the start of the run
    std::size_t team = 0; ///< index into LoadSettings::teams
    WorkSpec spec;
    std::uint64_t bodySeed = 0; ///< expectedBody(bodySeed, bodyLength) is the right response body of a request
    std::size_t bodyLength = 0;

    bool operator==(const PlannedSubmission&) const = default;
};

/** @brief Response body that a stand-in worker produces for a payload with this seed and length. */
inline std::string expectedBody(std::uint64_t seed, std::size_t length)
{
    TaskPayload payload;
    payload.seed = seed;
    payload.bodyBytes = length;
    return makeBody(payload);
}

/** @brief Draws the submissions of a run at random. Equal settings give equal plans. */
class LoadPlanner {
public:
    explicit LoadPlanner(const LoadSettings& settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
        for (const auto& team : settings.teams)
            m_totalWeight += team.weight;
    }

    std::vector<PlannedSubmission> plan()
    {
        std::vector<PlannedSubmission> submissions;
        Duration offset {};
        while (true) {
            offset += fromSeconds(drawExponential(1.0 / m_settings.rate));
            if (offset >= m_settings.length)
                return submissions;
            submissions.push_back(drawSubmission(offset, submissions.size()));
        }
    }

private:
    // The distributions of the standard library differ between implementations, so plans are drawn without them.
    double drawUniform() { return static_cast<double>(m_random() >> 11) * 0x1p-53; }
    double drawExponential(double mean) { return -mean * std::log1p(-drawUniform()); }

    static Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    /** @brief Uniform between 0.5 and 1.5 times the mean, at least 1. */
    std::int64_t drawAround(std::int64_t mean)
    {
        return std::max<std::int64_t>(
            1, mean / 2 + static_cast<std::int64_t>(drawUniform() * static_cast<double>(mean)));
    }

    std::size_t drawTeam()
    {
        double remaining = drawUniform() * m_totalWeight;
        for (std::size_t n = 0; n + 1 < m_settings.teams.size(); ++n) {
            remaining -= m_settings.teams[n].weight;
            if (remaining < 0)
                return n;
        }
        return m_settings.teams.size() - 1;
    }

    WorkKind drawKind()
    {
        const double draw = drawUniform();
        if (draw < m_settings.servicePart)
            return WorkKind::Service;
        return draw < m_settings.servicePart + m_settings.batchPart ? WorkKind::Batch : WorkKind::Request;
    }

    PlannedSubmission drawSubmission(Duration offset, std::size_t index)
    {
        PlannedSubmission result;
        result.offset = offset;
        result.team = drawTeam();
        auto& spec = result.spec;
        spec.id = { m_settings.teams[result.team].id, RequestId(fmt::format("{}-{}", m_settings.label, index)) };
        spec.kind = drawKind();
        spec.perTask = { drawAround(m_settings.milliCpu), drawAround(m_settings.memoryMb), 0, 1, 1 };
        spec.repeatable = drawUniform() < m_settings.repeatablePart;
        spec.attempt = 1;
        if (!m_settings.zones.empty())
            spec.preferredZone = ZoneId(m_settings.zones[index % m_settings.zones.size()]);
        if (spec.kind == WorkKind::Batch) {
            spec.taskCount = 1 + static_cast<std::uint32_t>(drawUniform() * m_settings.maxTasks);
            spec.gang = drawUniform() < m_settings.gangPart;
        } else if (spec.kind == WorkKind::Request) {
            spec.deadline = m_settings.deadline;
            spec.urgent = drawUniform() < m_settings.urgentPart;
        }
        fillPayload(result);
        return result;
    }

    void fillPayload(PlannedSubmission& submission)
    {
        auto& spec = submission.spec;
        if (spec.kind == WorkKind::Service) {
            spec.payload = "{}"; // a task without a run time runs until it is stopped
            return;
        }
        const auto mean = spec.kind == WorkKind::Batch ? m_settings.batchRunTime : m_settings.requestRunTime;
        const auto runTime = std::chrono::duration_cast<std::chrono::milliseconds>(
            fromSeconds(std::min(drawExponential(std::chrono::duration<double>(mean).count()),
                10 * std::chrono::duration<double>(mean).count())));
        spec.declaredRunTime = runTime;
        const std::uint64_t seed = m_random() >> 12; // 52 bits, which JSON numbers represent exactly
        const auto length = static_cast<std::size_t>(drawUniform() * static_cast<double>(m_settings.maxBodyBytes + 1));
        spec.payload = fmt::format(R"({{"runMs":{},"bodyBytes":{},"seed":{}}})", runTime.count(), length, seed);
        submission.bodySeed = seed;
        submission.bodyLength = length;
    }

    LoadSettings m_settings;
    std::mt19937_64 m_random;
    double m_totalWeight = 0;
};

} // namespace lycheeledge::standin
