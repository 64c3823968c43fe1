// In-memory store with watches and injectable faults, on a manually advanced clock.
#pragma once

#include "ManualRuntime.h"
#include "ProcessRuntime.h"

#include <lycheeledge/jobs/ClusterStore.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lycheeledge::test {

/** @brief State of the platform's store, shared by all members. Each member calls it through a Port. */
class FakeClusterStore {
public:
    explicit FakeClusterStore(ManualRuntime& runtime, Duration latency = std::chrono::milliseconds(4))
        : m_runtime(runtime)
        , m_latency(latency)
    {
    }

    /**
     * @brief Fault of calls. Refuse answers UNAVAILABLE. The others let calls time out: Silent ignores the request,
     * LoseAnswers executes it, and ExecuteLate executes it after `executionDelay`. Watches ignore LoseAnswers and
     * ExecuteLate.
     */
    enum class Fault { None, Refuse, Silent, LoseAnswers, ExecuteLate };

    /** @brief Sets the fault of all calls, or of the calls of one member, which takes precedence unless it is None. */
    void setFault(Fault fault) { m_fault = fault; }
    void setFault(const std::string& member, Fault fault) { m_faults[member] = fault; }
    void setLatency(Duration latency) { m_latency = latency; }
    Duration executionDelay = std::chrono::seconds(3); ///< execution delay of Fault::ExecuteLate
    std::size_t maxValueBytes = 1 << 20; ///< commits with a longer value are refused
    std::string silentWatch; ///< prefix of watches that are not answered; empty: none
    std::string silentList; ///< prefix of lists that are not answered; empty: none
    std::string answeredWatch; ///< prefix of watches that are answered whatever the fault; empty: none

    Revision put(const std::string& key, const std::string& value)
    {
        writeNewRevision(key, value, 0);
        return m_revision;
    }
    std::optional<StoreEntry> entry(const std::string& key) const
    {
        const auto it = m_items.find(key);
        return it == m_items.end() ? std::nullopt : std::optional(it->second.entry);
    }
    void erase(const std::string& key) { writeNewRevision(key, std::nullopt, 0); }
    /** @brief Watches that have not received the changes up to now end with OUT_OF_RANGE. */
    void dropHistory() { m_historyFrom = m_revision; }
    std::size_t count(const std::string& prefix) const
    {
        return static_cast<std::size_t>(std::count_if(
            m_items.begin(), m_items.end(), [&prefix](const auto& it) { return it.first.starts_with(prefix); }));
    }
    std::size_t commits = 0; ///< transactions received

    class Port;

private:
    struct Item {
        StoreEntry entry;
        StoreLeaseId lease = 0;
    };
    struct Lease {
        Duration timeToLive {};
        TimePoint end;
    };

    Fault faultFor(const std::string& member) const
    {
        const auto it = m_faults.find(member);
        return it != m_faults.end() && it->second != Fault::None ? it->second : m_fault;
    }

    void writeNewRevision(const std::string& key, std::optional<std::string> value, StoreLeaseId lease)
    {
        ++m_revision;
        write(key, std::move(value), lease);
    }

    void write(const std::string& key, std::optional<std::string> value, StoreLeaseId lease)
    {
        m_history.push_back({ key, m_revision, value });
        if (value)
            m_items[key] = { { key, *value, m_revision }, lease };
        else
            m_items.erase(key);
    }

    void expireLeases()
    {
        for (auto it = m_leases.begin(); it != m_leases.end();) {
            const auto lease = it++;
            if (lease->second.end > m_runtime.now())
                continue;
            revokeLease(lease->first);
        }
    }

    void revokeLease(StoreLeaseId lease)
    {
        m_leases.erase(lease);
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            writeNewRevision(key, std::nullopt, 0);
    }

    absl::StatusOr<jobs::CommitResult> commit(const StoreTransaction& transaction)
    {
        ++commits;
        for (const auto& put : transaction.puts) {
            if (put.value.size() > maxValueBytes)
                return absl::InvalidArgumentError("a value is too long");
        }
        bool holds = true;
        jobs::CommitResult result;
        for (const auto& condition : transaction.conditions) {
            const auto it = m_items.find(condition.key);
            holds = holds && (it == m_items.end() ? 0 : it->second.entry.modRevision) == condition.modRevision;
            result.current.push_back(it == m_items.end() ? StoreEntry { condition.key, {}, 0 } : it->second.entry);
        }
        if (!holds)
            return result;
        for (const auto& put : transaction.puts) {
            if (put.lease && !m_leases.contains(*put.lease))
                return absl::NotFoundError("no such lease");
        }
        ++m_revision;
        for (const auto& put : transaction.puts)
            write(put.key, put.value, put.lease.value_or(0));
        for (const auto& key : transaction.deletes)
            write(key, std::nullopt, 0);
        return jobs::CommitResult { true, m_revision, {} };
    }

    ManualRuntime& m_runtime;
    Duration m_latency;
    Fault m_fault = Fault::None;
    std::map<std::string, Fault> m_faults;
    Revision m_revision = 1;
    Revision m_historyFrom = 0; ///< changes up to this revision are no longer in the history
    std::map<std::string, Item> m_items;
    std::vector<jobs::StoreEvent> m_history;
    std::map<StoreLeaseId, Lease> m_leases;
    StoreLeaseId m_nextLease = 100;
};

/** @brief Connection of one member to the store. */
class FakeClusterStore::Port final : public jobs::ClusterStore {
public:
    /** @param process runs the callbacks. */
    Port(FakeClusterStore& store, std::string member, ProcessRuntime& process)
        : m_store(store)
        , m_member(std::move(member))
        , m_process(process)
    {
    }

    void get(const std::string& key, Duration timeout, Callback<jobs::StoreValue> done) override
    {
        call<jobs::StoreValue>(timeout, std::move(done), [this, key]() -> absl::StatusOr<jobs::StoreValue> {
            return jobs::StoreValue { m_store.m_revision, m_store.entry(key) };
        });
    }

    void list(
        const std::string& prefix, const std::string& after, Duration timeout, Callback<jobs::StorePage> done) override
    {
        if (!m_store.silentList.empty() && prefix == m_store.silentList) {
            m_store.m_runtime.after(
                timeout, [done = onProcess(std::move(done))] { done(absl::DeadlineExceededError("no answer")); });
            return;
        }
        call<jobs::StorePage>(timeout, std::move(done), [this, prefix, after]() -> absl::StatusOr<jobs::StorePage> {
            constexpr std::size_t pageSize = 100;
            jobs::StorePage page { .asOf = m_store.m_revision, .entries = {} };
            for (const auto& [key, item] : m_store.m_items) {
                if (!key.starts_with(prefix) || (!after.empty() && key <= after))
                    continue;
                if (page.entries.size() == pageSize) {
                    page.truncated = true;
                    break;
                }
                page.entries.push_back(item.entry);
            }
            return page;
        });
    }

    void watch(const std::string& prefix, Revision after, Duration wait, Duration timeout,
        Callback<jobs::StoreEvents> done) override
    {
        poll(prefix, after, m_store.m_runtime.now() + wait, timeout, onProcess(std::move(done)));
    }

    void commit(const StoreTransaction& transaction, Duration timeout, Callback<jobs::CommitResult> done) override
    {
        call<jobs::CommitResult>(timeout, std::move(done), [this, transaction] { return m_store.commit(transaction); });
    }

    void grantLease(Duration timeToLive, Duration timeout, Callback<StoreLeaseId> done) override
    {
        call<StoreLeaseId>(timeout, std::move(done), [this, timeToLive]() -> absl::StatusOr<StoreLeaseId> {
            const StoreLeaseId lease = m_store.m_nextLease++;
            m_store.m_leases[lease] = { timeToLive, m_store.m_runtime.now() + timeToLive };
            return lease;
        });
    }

    void renewLease(StoreLeaseId lease, Duration timeout, Callback<Duration> done) override
    {
        call<Duration>(timeout, std::move(done), [this, lease]() -> absl::StatusOr<Duration> {
            const auto it = m_store.m_leases.find(lease);
            if (it == m_store.m_leases.end())
                return absl::NotFoundError("no such lease");
            it->second.end = m_store.m_runtime.now() + it->second.timeToLive;
            return it->second.timeToLive;
        });
    }

    void revokeLease(StoreLeaseId lease, Duration timeout, std::function<void(absl::Status)> done) override
    {
        call<bool>(
            timeout, [done = std::move(done)](const absl::StatusOr<bool>& result) { done(result.status()); },
            [this, lease]() -> absl::StatusOr<bool> {
                m_store.revokeLease(lease);
                return true;
            });
    }

private:
    template <typename T> Callback<T> onProcess(Callback<T> done)
    {
        return [process = &m_process, done = std::move(done)](
                   const absl::StatusOr<T>& result) { process->deliver([done, result] { done(result); }); };
    }

    template <typename T> void call(Duration timeout, Callback<T> caller, std::function<absl::StatusOr<T>()> execute)
    {
        const Callback<T> done = onProcess(std::move(caller));
        auto& runtime = m_store.m_runtime;
        const Fault fault = m_store.faultFor(m_member);
        const Duration latency = m_store.m_latency;
        if (fault == Fault::Refuse) {
            runtime.after(latency, [done] { done(absl::UnavailableError("refused")); });
            return;
        }
        if (fault == Fault::Silent || fault == Fault::LoseAnswers || fault == Fault::ExecuteLate) {
            const auto run = [this, execute] {
                m_store.expireLeases();
                (void)execute();
            };
            if (fault == Fault::LoseAnswers)
                runtime.after(latency / 2, run);
            if (fault == Fault::ExecuteLate)
                runtime.after(m_store.executionDelay, run);
            runtime.after(timeout, [done] { done(absl::DeadlineExceededError("no answer")); });
            return;
        }
        if (latency > timeout) {
            runtime.after(latency / 2, [this, execute] {
                m_store.expireLeases();
                (void)execute();
            });
            runtime.after(timeout, [done] { done(absl::DeadlineExceededError("no answer in time")); });
            return;
        }
        runtime.after(latency / 2, [this, latency, done, execute] {
            m_store.expireLeases();
            m_store.m_runtime.after(latency / 2, [done, result = execute()] { done(result); });
        });
    }

    void poll(
        const std::string& prefix, Revision after, TimePoint end, Duration timeout, Callback<jobs::StoreEvents> done)
    {
        constexpr Duration pollInterval = std::chrono::milliseconds(5);
        const bool isAnswered = !m_store.answeredWatch.empty() && prefix == m_store.answeredWatch;
        const Fault fault = isAnswered ? Fault::None : m_store.faultFor(m_member);
        auto& runtime = m_store.m_runtime;
        if (fault == Fault::Refuse) {
            runtime.after(m_store.m_latency, [done] { done(absl::UnavailableError("refused")); });
            return;
        }
        if (fault == Fault::Silent || (!m_store.silentWatch.empty() && prefix == m_store.silentWatch)) {
            runtime.after(timeout, [done] { done(absl::DeadlineExceededError("no answer")); });
            return;
        }
        m_store.expireLeases();
        if (after < m_store.m_historyFrom) {
            runtime.after(m_store.m_latency, [done] { done(absl::OutOfRangeError("history is gone")); });
            return;
        }
        jobs::StoreEvents events { .asOf = m_store.m_revision, .events = {} };
        for (const auto& event : m_store.m_history) {
            if (event.revision > after && event.key.starts_with(prefix))
                events.events.push_back(event);
        }
        if (!events.events.empty() || runtime.now() >= end) {
            runtime.after(m_store.m_latency, [done, events] { done(events); });
            return;
        }
        runtime.after(
            pollInterval, [this, prefix, after, end, timeout, done] { poll(prefix, after, end, timeout, done); });
    }

    FakeClusterStore& m_store;
    std::string m_member;
    ProcessRuntime& m_process;
};

} // namespace lycheeledge::test
