// Routes work from the entry process that received it to the owner of the cell.
#pragma once

#include "../state/Outcome.h"
#include "../state/Work.h"
#include "PeerLink.h"
#include "Runtime.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge {

/** @brief Where a cell's owner can be reached. */
struct OwnerLocation {
    MemberId member;
    Address address;
    Epoch epoch = 0;

    bool operator==(const OwnerLocation&) const = default;
};

/** @brief Knowledge of the owners of cells. */
class OwnerDirectory {
public:
    virtual ~OwnerDirectory() = default;

    /** @return the current owner as far as known. */
    virtual std::optional<OwnerLocation> ownerOf(const CellId& cell) const = 0;
};

/** @brief Work on a cell that this process owns. Implemented by CellController. */
class LocalCell {
public:
    virtual ~LocalCell() = default;

    /** @brief Whether the cell is owned here and its scheduler accepts work. */
    virtual bool isActive() const = 0;
    virtual void submit(WorkSpec spec, const std::string& traceparent, std::function<void(WorkResult)> done) = 0;
    virtual void cancel(const WorkId& id, std::function<void(std::optional<WorkStatus>)> done) = 0;
    virtual std::optional<WorkStatus> status(const WorkId& id) const = 0;
    /** @brief Overview of the cell as JSON. */
    virtual std::string overview() const = 0;
};

struct RouterSettings {
    MemberId self;
    CellId cell;
    Duration retryInterval = std::chrono::milliseconds(50); ///< between attempts to find or reach an owner
    Duration defaultDeadline = std::chrono::seconds(60); ///< for work without a deadline of its own
    Duration answerGrace = std::chrono::seconds(2); ///< beyond the deadline, for the owner's own answer to arrive
    std::size_t maxPending = 50000; ///< more calls are refused as not run

    bool operator==(const RouterSettings&) const = default;
};

/**
 * @brief Entry side of a submission: finds the owner, sends, re-sends after a change of owner, and answers once.
 *
 * A submission may be sent again, since the owner deduplicates by identity. Only the reply to the latest sending
 * counts: a late refusal of an earlier owner must not be taken for the answer of the current one.
 */
class RequestRouter {
public:
    RequestRouter(
        Runtime& runtime, PeerLink& link, const OwnerDirectory& owners, LocalCell& local, RouterSettings settings);

    /** @brief Submits work. @param done called once, at the latest shortly after the deadline. */
    void submit(WorkSpec spec, std::string traceparent, std::function<void(WorkResult)> done);
    /** @param done receives nothing if the work is unknown, or an error if no owner answered. */
    void cancel(const WorkId& id, std::function<void(absl::StatusOr<std::optional<WorkStatus>>)> done);
    void status(const WorkId& id, std::function<void(absl::StatusOr<std::optional<WorkStatus>>)> done);
    void overview(std::function<void(absl::StatusOr<std::string>)> done);

    /** @brief Handles a message of another member: requests to the local cell, and replies. */
    void messageReceived(const MemberId& from, const PeerMessage& message);
    /** @brief Re-sends all work that waits for an owner other than the current one. */
    void ownerChanged();
    /** @brief Re-sends all work that was handed to the local cell, because its scheduler has ended. */
    void localCellClosed();

    /** @brief Number of submissions in progress that were received by this process. */
    std::size_t pendingSubmissions() const { return m_submissions.size(); }

private:
    struct Submission {
        WorkSpec spec;
        std::string traceparent;
        std::function<void(WorkResult)> done;
        TimePoint deadline;
        std::optional<OwnerLocation> sentTo; // owner of the latest sending that may have been received
        std::uint64_t call = 0; // latest sending; replies to others are dropped
        bool maybeReceived = false; // an owner may have received it; "not run" then needs an owner's word
        bool receivedBefore = false; // the same, without the latest sending
        Runtime::TimerId timer = 0; // next attempt or expiry
    };
    struct Query {
        std::function<void(const PeerMessage&)> answered;
        std::function<void(absl::Status)> failed;
        Runtime::TimerId timer = 0;
    };

    void dispatch(std::uint64_t key);
    WorkSpec specToSend(const Submission& submission) const;
    void dispatchAll(std::vector<std::uint64_t> keys);
    void sendTo(std::uint64_t key, Submission& submission, const OwnerLocation& owner);
    void submitLocally(std::uint64_t key, Submission& submission);
    void retryLater(std::uint64_t key, Submission& submission);
    void scheduleExpiry(std::uint64_t key, Submission& submission);
    void expire(std::uint64_t key);
    void finish(std::uint64_t key, WorkResult result);
    void submitReplied(const SubmitReply& reply);
    void query(PeerMessage message, std::uint64_t call, Query pending);
    template <typename Reply> void queryReplied(const Reply& reply);
    void handleSubmit(const MemberId& from, const SubmitMessage& message);
    void handleCancel(const MemberId& from, const CancelMessage& message);
    void handleStatus(const MemberId& from, const StatusMessage& message);
    void handleOverview(const MemberId& from, const OverviewMessage& message);
    bool ownsCell(const CellId& cell) const { return cell == m_settings.cell && m_local.isActive(); }

    Runtime& m_runtime;
    PeerLink& m_link;
    const OwnerDirectory& m_owners;
    LocalCell& m_local;
    RouterSettings m_settings;
    std::uint64_t m_nextId = 1;
    absl::flat_hash_map<std::uint64_t, Submission> m_submissions; // by key
    absl::flat_hash_map<std::uint64_t, std::uint64_t> m_calls; // latest call of each submission -> key
    absl::flat_hash_map<std::uint64_t, Query> m_queries; // by call
};

} // namespace lycheeledge
