// Plays a stream of submissions to a simulated cluster, and counts how the jobs end.
#pragma once

#include "JobCluster.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::test {

/** @brief One stream of equal jobs. */
struct Load {
    std::string queue = "urgent";
    std::string key = "key-1";
    jobs::JobSpec spec;
    Duration interval {}; ///< between submissions
    Duration length {}; ///< from the first to the last submission
    std::uint64_t firstJob = 1;
    bool retries = false; ///< submits a refused job again after its Retry-After, once
};

struct LoadOutcome {
    std::size_t submitted = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
    std::size_t useful = 0; ///< completed before their result expired, from their last submission
    std::size_t failed = 0; ///< accepted or unknown, and not completed before that
    std::uint32_t shortestRetryS = 0;
    std::uint32_t longestRetryS = 0;
};

/** @brief Submits the jobs of several streams to the first member and records when they complete. */
class LoadPlay {
public:
    /** @param useful time from its submission until a job's result expires. */
    LoadPlay(JobCluster& cluster, Duration useful)
        : m_cluster(cluster)
        , m_useful(useful)
    {
    }

    void add(const Load& load)
    {
        m_loads.push_back({ load, m_cluster.runtime.now(), m_cluster.runtime.now() + load.length, load.firstJob });
    }

    /** @brief Advances the clock in steps of 10 ms. */
    void advance(Duration duration)
    {
        constexpr Duration step = std::chrono::milliseconds(10);
        for (Duration passed {}; passed < duration; passed += step) {
            const TimePoint now = m_cluster.runtime.now();
            for (auto& load : m_loads) {
                for (; load.next <= now && load.next < load.end; load.next += load.load.interval)
                    submit(load.load, load.job++);
            }
            m_cluster.advance(step);
            noteCompletions();
            retryRefused();
        }
    }

    LoadOutcome outcome(const std::string& queue = "") const
    {
        LoadOutcome result;
        for (const auto& [job, submission] : m_submissions) {
            if (!queue.empty() && submission.queue != queue)
                continue;
            ++result.submitted;
            const auto& reply = *submission.reply;
            if (reply.has_value() && reply->kind == jobs::ReplyKind::Refused) {
                result.shortestRetryS
                    = result.refused == 0 ? reply->retryAfterS : std::min(result.shortestRetryS, reply->retryAfterS);
                result.longestRetryS = std::max(result.longestRetryS, reply->retryAfterS);
                ++result.refused;
                continue;
            }
            result.unknown += !reply.has_value() || reply->kind == jobs::ReplyKind::Unknown ? 1 : 0;
            const bool isUseful = submission.completedAt && *submission.completedAt - submission.at <= m_useful;
            ++(isUseful ? result.useful : result.failed);
        }
        return result;
    }
    /** @brief Jobs whose submission was refused. */
    std::vector<std::uint64_t> refusedJobs() const
    {
        std::vector<std::uint64_t> result;
        for (const auto& [job, submission] : m_submissions) {
            if (submission.reply->has_value() && (*submission.reply)->kind == jobs::ReplyKind::Refused)
                result.push_back(job);
        }
        return result;
    }

private:
    struct Stream {
        Load load;
        TimePoint next;
        TimePoint end;
        std::uint64_t job = 0;
    };
    struct Submission {
        std::string queue;
        TimePoint at;
        std::shared_ptr<std::optional<jobs::ClientReply>> reply;
        std::optional<TimePoint> completedAt;
        Load load;
        bool isRetried = false;
    };

    void submit(const Load& load, std::uint64_t job)
    {
        const std::string body = "body-" + std::to_string(load.firstJob);
        m_cluster.submissions.specs[body] = load.spec;
        const auto reply = m_cluster.call(m_cluster.memberNames().front(), jobs::CallVerb::Submit,
            "/" + load.queue + "/" + jobName(job), body, load.key);
        m_submissions[job] = { load.queue, m_cluster.runtime.now(), reply, std::nullopt, load, false };
        m_open.push_back(job);
    }
    void retryRefused()
    {
        std::vector<std::uint64_t> due;
        for (const auto& [job, it] : m_submissions) {
            const auto& reply = *it.reply;
            if (it.load.retries && !it.isRetried && reply.has_value() && reply->kind == jobs::ReplyKind::Refused
                && m_cluster.runtime.now() - it.at >= std::chrono::seconds(reply->retryAfterS))
                due.push_back(job);
        }
        for (const auto job : due) {
            std::erase(m_open, job);
            const Load load = m_submissions[job].load;
            submit(load, job);
            m_submissions[job].isRetried = true;
        }
    }
    void noteCompletions()
    {
        const auto owner = m_cluster.owner();
        if (!owner)
            return;
        const auto& scheduler = m_cluster.member(*owner).node.session().scheduler();
        std::erase_if(m_open, [&](std::uint64_t n) {
            const auto* job = scheduler.job(jobs::JobId(jobName(n)));
            if (job == nullptr || job->storedState != jobs::JobState::Completed)
                return false;
            m_submissions[n].completedAt = m_cluster.runtime.now();
            return true;
        });
    }

    JobCluster& m_cluster;
    Duration m_useful;
    std::vector<Stream> m_loads;
    std::map<std::uint64_t, Submission> m_submissions;
    std::vector<std::uint64_t> m_open;
};

} // namespace lycheeledge::test
