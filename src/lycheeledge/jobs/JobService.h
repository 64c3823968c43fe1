// Handles client calls at the owner: routing, keys, submissions, cancellations and job states.
#pragma once

#include "ClientCall.h"
#include "ClusterConfiguration.h"
#include "JobScheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lycheeledge::jobs {

struct JobServiceSettings {
    /// Calls with a key are not carried out when the configuration has not been confirmed for this long, because the
    /// key may have been withdrawn meanwhile. Submissions of new jobs are exempt: their commit requires the current
    /// configuration.
    Duration keyFreshness = std::chrono::milliseconds(4300);
    /// Calls for an unknown queue, or with an unknown key, are refused for a later attempt instead of denied when the
    /// configuration has not been confirmed for this long, because the queue or the key may have been added meanwhile.
    Duration denialFreshness = std::chrono::milliseconds(1700);
    std::uint32_t storeRetryAfterS = 2; ///< Retry-After while the store accepts no commits
    std::uint32_t memoryRetryAfterS = 5; ///< Retry-After while the accepted work of the account takes its memory
    /// Whether submissions are refused that are predicted to end too late for their result to be of use.
    bool refusesUnservable = false;
};

struct JobServiceCounters {
    std::uint64_t submissions = 0;
    std::uint64_t accepted = 0;
    std::uint64_t repeated = 0; ///< submissions of known jobs
    std::uint64_t refused = 0;
    std::uint64_t refusedByPrediction = 0; ///< because they would have ended too late; included in `refused`
    std::uint64_t refusedForMemory = 0; ///< because accepted work takes the memory; included in `refused`
    std::uint64_t unknown = 0; ///< submissions that were answered as unknown
    std::uint64_t unauthorized = 0;
    std::uint64_t malformed = 0;
    std::uint64_t reads = 0;
    std::uint64_t cancels = 0;

    bool operator==(const JobServiceCounters&) const = default;
};

class JobService {
public:
    using Reply = ReplyHandler;

    struct Ports {
        Runtime& runtime;
        JobScheduler& scheduler;
        JobLedger& ledger;
        const SubmissionCodec& codec;
        EventLog& log;
        JobSchedulerHost& host;
    };

    explicit JobService(Ports ports, JobServiceSettings settings = {});

    /** @brief Applies a configuration and rechecks pending submissions against it. */
    void setConfiguration(std::shared_ptr<const ClusterConfiguration> configuration);
    /** @brief The configuration was current at `sentAt`, when a call that the store answered was sent. */
    void configurationConfirmed(TimePoint sentAt) { m_confirmedAt = std::max(m_confirmedAt, sentAt); }
    /** @brief The ownership was confirmed up to JobSchedulerHost::ownershipConfirmedAt(). */
    void ownershipConfirmed();
    /** @brief Handles a call. `reply` is called once, unless end() returns it. */
    void handle(const ClientCall& call, Reply reply);
    /** @brief Withdraws and refuses submissions that were not stored and will not be. */
    void refuseSubmissions(const std::vector<JobId>& jobs);
    /** @brief Call that is still in progress, and when its reply is due. */
    struct UnfinishedCall {
        ClientCall call;
        TimePoint deadline;
        Reply reply;
        bool mayHaveRun = false; ///< an owner has received it
    };

    /** @brief Called when the ownership ends. @return calls in progress, to be forwarded to the next owner. */
    std::vector<UnfinishedCall> end();

    const JobServiceCounters& counters() const { return m_counters; }
    std::size_t pendingSubmissions() const { return m_pending.size(); }

private:
    struct Pending {
        ClientCall call;
        std::vector<Reply> replies;
        TimePoint deadline;
    };
    struct AbsentJobCall {
        UnfinishedCall call;
        TimePoint arrivedAt;
    };

    void submit(
        const ClientCall& call, const QueuePolicy& queue, const AccountId& account, const JobId& id, Reply reply);
    /**
     * @brief Refuses a submission that cannot be served in time. The job must be unknown to this owner.
     * @return whether it was refused; then it does not run because of this call.
     */
    bool refuseUnservable(
        const QueuePolicy& queue, const AccountId& account, const JobId& id, const JobSpec& spec, const Reply& reply);
    /**
     * @brief Refuses a submission for which the accepted work of its account, and of all, leaves no memory. The job
     * must be unknown to this owner.
     * @return whether it was answered; then it does not run because of this call.
     */
    bool refuseForMemory(const AccountId& account, const JobId& id, const JobSpec& spec, const Reply& reply);
    /** @brief Answers a submission of a job that is stored or being stored. */
    void repeat(const QueuePolicy& queue, const JobId& id, Reply reply);
    void cancel(const ClientCall& call, const JobId& id, Reply reply);
    /** @brief Answers a call for a job that this owner does not know, once it is certain that no next owner does. */
    void answerAbsentJob(const ClientCall& call, Reply reply);
    /** @brief Whether a key that the configuration has for the queue may still be accepted. */
    bool isKeyConfirmed(const QueuePolicy& queue) const;
    bool isConfirmedWithin(Duration limit) const;
    /** @brief Refuses a call for a later attempt; answers as unknown if it submits a job that is known. */
    void refuseUnconfirmed(const ClientCall& call, const std::string& queue, const Reply& reply);
    /** @brief For a submission of a job that may run, so that it must not be refused. */
    void answerUnconfirmed(const JobId& id, const Reply& reply);
    void read(const ClientCall& call, const QueuePolicy& queue, const std::string& name, Reply reply);
    void acceptSubmission(const JobId& id);
    void resolve(const JobId& id, const ClientReply& reply);
    void recheckPending();
    /** @brief Account of the call's key, or an empty id for a queue open to all; `nullopt` if the key is unknown. */
    std::optional<AccountId> accountOf(const ClientCall& call, const QueuePolicy& queue) const;

    Runtime& m_runtime;
    JobScheduler& m_scheduler;
    JobLedger& m_ledger;
    const SubmissionCodec& m_codec;
    EventLog& m_log;
    JobSchedulerHost& m_host;
    JobServiceSettings m_settings;
    std::shared_ptr<const ClusterConfiguration> m_configuration;
    TimePoint m_confirmedAt;
    std::map<JobId, Pending> m_pending; ///< submissions that are not stored yet
    std::map<std::uint64_t, UnfinishedCall> m_cancels; ///< cancellations that are not stored yet
    /// Calls for unknown jobs that arrived after the last confirmation of the ownership, in order of arrival.
    std::map<std::uint64_t, AbsentJobCall> m_absentJobCalls;
    std::uint64_t m_nextCall = 0; ///< key in `m_cancels` and `m_absentJobCalls`
    JobServiceCounters m_counters;
};

} // namespace lycheeledge::jobs
