// Routes submissions and queries from the entry process that received them to the owner of the cell.
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

/** @brief Address of a cell's owner and the epoch of its ownership. */
struct OwnerLocation {
    MemberId member;
    Address address;
    Epoch epoch = 0;

    bool operator==(const OwnerLocation&) const = default;
};

/** @brief Looks up the owners of cells. */
class OwnerDirectory {
public:
    virtual ~OwnerDirectory() = default;

    /** @return the latest known owner, or nullopt. */
    virtual std::optional<OwnerLocation> ownerOf(const CellId& cell) const = 0;
};

/** @brief Access to the cell while this process owns it. Implemented by CellController. */
class LocalCell {
public:
    virtual ~LocalCell() = default;

    /** @brief Whether this process owns the cell and its scheduler accepts work. */
    virtual bool isActive() const = 0;
    virtual void submit(WorkSpec spec, const std::string& traceparent, std::function<void(WorkResult)> done) = 0;
    virtual void cancel(const WorkId& id, std::function<void(std::optional<WorkStatus>)> done) = 0;
    virtual std::optional<WorkStatus> status(const WorkId& id) const = 0;
    /** @brief Overview of the cell in JSON. */
    virtual std::string overview() const = 0;
};

struct RouterSettings {
    MemberId self;
    CellId cell;
    Duration retryInterval = std::chrono::milliseconds(50); ///< between attempts to find or reach an owner
    Duration defaultDeadline = std::chrono::seconds(60); ///< for work without its own deadline
    Duration responseGracePeriod = std::chrono::seconds(2); ///< after the deadline, for the owner's response
    std::size_t maxPendingSubmissions = 50000; ///< further submissions are refused as not run

    bool operator==(const RouterSettings&) const = default;
};

/**
 * @brief Sends each submission to the cell's owner, re-sends it after a change of owner, and reports one result.
 *
 * Sending a submission again is safe because the owner deduplicates by work id. Only the reply to the latest attempt
 * counts: a late refusal by an earlier owner must not be taken for the result of the current one.
 */
class RequestRouter {
public:
    RequestRouter(
        Runtime& runtime, PeerLink& link, const OwnerDirectory& owners, LocalCell& local, RouterSettings settings);

    /** @brief Submits work. @param done called once, at the latest `responseGracePeriod` after the deadline. */
    void submit(WorkSpec spec, std::string traceparent, std::function<void(WorkResult)> done);
    /** @param done receives nullopt if the work is unknown, or an error if no owner responded. */
    void cancel(const WorkId& id, std::function<void(absl::StatusOr<std::optional<WorkStatus>>)> done);
    void status(const WorkId& id, std::function<void(absl::StatusOr<std::optional<WorkStatus>>)> done);
    void overview(std::function<void(absl::StatusOr<std::string>)> done);

    /** @brief Handles a message from another member: a request to the local cell, or a reply. */
    void messageReceived(const MemberId& from, const PeerMessage& message);
    /** @brief Re-sends all submissions that were last sent to an owner other than the current one. */
    void ownerChanged();
    /** @brief Re-sends all submissions that were passed to the local cell, because its scheduler has ended. */
    void localCellClosed();

    /** @brief Number of submissions received by this process that have no result yet. */
    std::size_t pendingSubmissions() const { return m_submissions.size(); }

private:
    struct Submission {
        WorkSpec spec;
        std::string traceparent;
        std::function<void(WorkResult)> done;
        TimePoint deadline;
        std::optional<OwnerLocation> sentTo; // owner that the latest attempt was sent to
        std::uint64_t call = 0; // id of the latest attempt; replies to earlier ones are ignored
        bool maybeReceived = false; // by any owner; if so, only an owner can report the work as not run
        bool maybeReceivedEarlier = false; // the same, without the latest attempt
        Runtime::TimerId timer = 0; // for the next attempt or the expiry
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
    absl::flat_hash_map<std::uint64_t, Submission> m_submissions; // by submission key
    absl::flat_hash_map<std::uint64_t, std::uint64_t> m_calls; // call id of the latest attempt -> submission key
    absl::flat_hash_map<std::uint64_t, Query> m_queries; // by call id
};

} // namespace lycheeledge
