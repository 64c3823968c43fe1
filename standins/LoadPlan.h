// The load to offer, computed in advance from a seed.
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
    double weight = 1.0; ///< part of the submissions

    bool operator==(const LoadTeam&) const = default;
};

struct LoadSettings {
    std::vector<LoadTeam> teams;
    std::vector<std::string> zones; ///< preferred zones, chosen in turn; may be empty
    std::uint64_t seed = 1;
    std::string label; ///< prefix of the request ids; must differ between runs against the same cluster
    double rate = 100; ///< submissions a second, all kinds together
    Duration length = std::chrono::seconds(10);
    double batchPart = 0.1; ///< of the submissions
    double servicePart = 0.01; ///< of the submissions
    double urgentPart = 0.02; ///< of the requests
    double repeatablePart = 0.5; ///< of all
    double gangPart = 0.2; ///< of the batch jobs
    std::uint32_t maxTasks = 4; ///< of a batch job
    Duration requestRunTime = std::chrono::milliseconds(50); ///< mean
    Duration batchRunTime = std::chrono::milliseconds(1000); ///< mean
    Duration deadline = std::chrono::seconds(2); ///< of requests
    std::int64_t milliCpu = 1000; ///< mean of a task
    std::int64_t memoryMb = 1024; ///< mean of a task
    std::size_t maxBodyBytes = 2048;

    bool operator==(const LoadSettings&) const = default;
};

/** @brief One submission. */
struct LoadItem {
    Duration at {}; ///< after the start of the run
    std::size_t team = 0; ///< index into LoadSettings::teams
    WorkSpec spec;
    std::uint64_t bodySeed = 0; ///< expectedBody() of these two is the answer of a request
    std::size_t bodyLength = 0;

    bool operator==(const LoadItem&) const = default;
};

/** @brief Answer that a stand-in worker gives for a payload with this seed. */
inline std::string expectedBody(std::uint64_t seed, std::size_t length)
{
    TaskPayload payload;
    payload.seed = seed;
    payload.bodyBytes = length;
    return makeBody(payload);
}

/** @brief Draws the submissions of a run. Equal settings give equal plans. */
class LoadPlanner {
public:
    explicit LoadPlanner(const LoadSettings& settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
        for (const auto& team : settings.teams)
            m_totalWeight += team.weight;
    }

    std::vector<LoadItem> plan()
    {
        std::vector<LoadItem> items;
        Duration at {};
        while (true) {
            at += fromSeconds(exponential(1.0 / m_settings.rate));
            if (at >= m_settings.length)
                return items;
            items.push_back(item(at, items.size()));
        }
    }

private:
    // The distributions of the standard library differ between implementations, so the draws are done here.
    double uniform() { return static_cast<double>(m_random() >> 11) * 0x1p-53; }
    double exponential(double mean) { return -mean * std::log1p(-uniform()); }

    static Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    /** @brief Between half and one and a half times the mean, at least 1. */
    std::int64_t around(std::int64_t mean)
    {
        return std::max<std::int64_t>(1, mean / 2 + static_cast<std::int64_t>(uniform() * static_cast<double>(mean)));
    }

    std::size_t drawTeam()
    {
        double left = uniform() * m_totalWeight;
        for (std::size_t n = 0; n + 1 < m_settings.teams.size(); ++n) {
            left -= m_settings.teams[n].weight;
            if (left < 0)
                return n;
        }
        return m_settings.teams.size() - 1;
    }

    WorkKind drawKind()
    {
        const double draw = uniform();
        if (draw < m_settings.servicePart)
            return WorkKind::Service;
        return draw < m_settings.servicePart + m_settings.batchPart ? WorkKind::Batch : WorkKind::Request;
    }

    LoadItem item(Duration at, std::size_t n)
    {
        LoadItem result;
        result.at = at;
        result.team = drawTeam();
        auto& spec = result.spec;
        spec.id = { m_settings.teams[result.team].id, RequestId(fmt::format("{}-{}", m_settings.label, n)) };
        spec.kind = drawKind();
        spec.perTask = { around(m_settings.milliCpu), around(m_settings.memoryMb), 0, 1, 1 };
        spec.repeatable = uniform() < m_settings.repeatablePart;
        spec.attempt = 1;
        if (!m_settings.zones.empty())
            spec.preferredZone = ZoneId(m_settings.zones[n % m_settings.zones.size()]);
        if (spec.kind == WorkKind::Batch) {
            spec.taskCount = 1 + static_cast<std::uint32_t>(uniform() * m_settings.maxTasks);
            spec.allTogether = uniform() < m_settings.gangPart;
        } else if (spec.kind == WorkKind::Request) {
            spec.deadline = m_settings.deadline;
            spec.urgent = uniform() < m_settings.urgentPart;
        }
        fillPayload(result);
        return result;
    }

    void fillPayload(LoadItem& item)
    {
        auto& spec = item.spec;
        if (spec.kind == WorkKind::Service) {
            spec.payload = "{}"; // a task without a run time runs until it is stopped
            return;
        }
        const auto mean = spec.kind == WorkKind::Batch ? m_settings.batchRunTime : m_settings.requestRunTime;
        const auto runMs = std::chrono::duration_cast<std::chrono::milliseconds>(
            fromSeconds(std::min(exponential(std::chrono::duration<double>(mean).count()),
                10 * std::chrono::duration<double>(mean).count())));
        spec.declaredRunTime = runMs;
        const std::uint64_t seed = m_random() >> 12; // fits the integers that JSON numbers keep exactly
        const auto length = static_cast<std::size_t>(uniform() * static_cast<double>(m_settings.maxBodyBytes + 1));
        spec.payload = fmt::format(R"({{"runMs":{},"bodyBytes":{},"seed":{}}})", runMs.count(), length, seed);
        item.bodySeed = seed;
        item.bodyLength = length;
    }

    LoadSettings m_settings;
    std::mt19937_64 m_random;
    double m_totalWeight = 0;
};

} // namespace lycheeledge::standin
