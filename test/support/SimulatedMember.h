// An entry process with the ownership components and a minimal scheduler.
#pragma once

#include "FakeOwnershipStore.h"
#include "FakeWorkerGateway.h"
#include "PausableRuntime.h"

#include <lycheeledge/coordination/CellOwnership.h>
#include <lycheeledge/coordination/StoreJournal.h>
#include <lycheeledge/coordination/WorkerSessions.h>
#include <lycheeledge/protocol/JournalCodec.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheeledge::test {

inline const CellId simulatedCell("central");

inline TaskId simulatedTask(int n, std::uint32_t run = 1)
{
    return { { TeamId("feed"), RequestId(absl::StrCat("t", n)) }, 0, run };
}

/**
 * @brief Renews its store lease, reads the store every second, and tries to own the cell. As its owner, it keeps
 * `taskCount` tasks running, each at one worker, and starts one elsewhere when it may.
 */
class SimulatedMember final : OwnershipView, CellOwnershipListener, WorkerPoolListener {
public:
    SimulatedMember(Runtime& network, FakeOwnershipStore& shared, FakeFleet& fleet,
        std::vector<std::unique_ptr<SimulatedMember>>& members, std::string name, int tasks = 0)
        : runtime(network)
        , store(network, runtime, shared)
        , gateway(network, runtime, fleet)
        , id(std::move(name))
        , taskCount(tasks)
        , m_directory(runtime, fleet)
        , m_members(members)
    {
        ownership = std::make_unique<CellOwnership>(runtime, store, static_cast<OwnershipView&>(*this),
            static_cast<CellOwnershipListener&>(*this), simulatedCell);
        renew();
        read();
        schedule();
        ownership->start();
    }

    bool isActive() const { return sessions && sessions->isActive(); }

    PausableRuntime runtime;
    FakeStoreClient store;
    FakeWorkerGateway gateway;
    MemberId id;
    int taskCount;
    bool readsStore = true; ///< otherwise its view stays as it is
    std::optional<std::vector<MemberId>> liveOverride;
    bool suspectsOwner = false;
    std::optional<bool> leaseOverride;
    std::vector<std::string> log;
    std::optional<TimePoint> activeAt;
    std::unique_ptr<CellOwnership> ownership;
    std::unique_ptr<StoreJournal> journal;
    std::unique_ptr<WorkerSessions> sessions;

private:
    struct Place {
        VmId worker;
        std::uint32_t run = 0;
        bool starting = false;
    };

    void renew()
    {
        runtime.after(std::chrono::seconds(2), [this] { renew(); });
        if (m_lease == 0)
            return grant();
        store.renewLease(m_lease, [this](const auto& left) {
            if (absl::IsNotFound(left.status()))
                grant();
        });
    }

    void grant()
    {
        m_lease = 0;
        store.grantLease(std::chrono::seconds(6), [this](const auto& granted) {
            m_lease = granted.ok() ? *granted : 0;
            if (m_lease != 0)
                store.commit({ {}, { { "m/" + id.value(), "", m_lease } }, {} }, [](const auto&) {});
        });
    }

    void read()
    {
        runtime.after(std::chrono::seconds(1), [this] { read(); });
        if (!readsStore)
            return;
        store.read({ { ownerEpochKey(simulatedCell), 0, true }, { ownerLeaseKey(simulatedCell), 0, true }, { "m/" } },
            [this](const auto& snapshot) {
                if (!snapshot.ok())
                    return;
                const auto& epoch = snapshot->ranges[0];
                m_leaseExists = !snapshot->ranges[1].empty();
                m_live.clear();
                for (const auto& entry : snapshot->ranges[2])
                    m_live.emplace_back(std::string(absl::StripPrefix(entry.key, "m/")));
                if (!epoch.empty()) {
                    m_record = *parseEpochRecord(epoch[0].value);
                    m_record->revision = epoch[0].modRevision;
                }
            });
    }

    std::vector<MemberId> liveMembers() const override { return liveOverride.value_or(m_live); }
    std::optional<EpochRecord> epochRecord(const CellId&) const override { return m_record; }
    bool ownerLeaseExists(const CellId&) const override { return leaseOverride.value_or(m_leaseExists); }
    bool isClaimedByAnother(const CellId&) const override
    {
        return std::any_of(m_members.begin(), m_members.end(), [this](const auto& member) {
            return member && member.get() != this && !member->runtime.isPaused() && member->isActive();
        });
    }
    bool isOwnerSuspected(const CellId&) const override { return suspectsOwner; }
    std::optional<StoreLeaseId> storeLease() const override { return m_lease ? std::optional(m_lease) : std::nullopt; }
    MemberId self() const override { return id; }
    std::uint64_t incarnation() const override { return 7; }
    Address address() const override { return { "127.0.0.1", 7000 }; }

    void ownershipAcquired(const CellId&, Epoch epoch, Revision revision) override
    {
        log.push_back(absl::StrCat("acquired ", epoch));
        m_epoch = epoch;
        journal = std::make_unique<StoreJournal>(runtime, store, m_codec, simulatedCell, revision);
        journal->load([this, epoch](const auto& records) {
            if (!records.ok())
                return;
            sessions = std::make_unique<WorkerSessions>(runtime, gateway, m_directory, *journal, simulatedCell, epoch);
            sessions->setListener(this);
            m_places.clear();
            m_missing.clear();
            sessions->start(
                *records,
                [this](const std::vector<VmId>& missing) {
                    m_missing = { missing.begin(), missing.end() };
                    activeAt = runtime.now();
                },
                [this] {
                    ownership->resign();
                    drop();
                });
        });
    }

    void ownershipLost(const CellId&, Epoch epoch) override
    {
        log.push_back(absl::StrCat("lost ", epoch));
        drop();
    }

    void drop()
    {
        sessions.reset();
        journal.reset();
        activeAt.reset();
        m_available.clear();
    }

    /** Starts each task that certainly runs nowhere. Unreached workers may run any task that was not reported. */
    void schedule()
    {
        runtime.after(std::chrono::milliseconds(200), [this] { schedule(); });
        if (!activeAt || !m_missing.empty() || m_available.empty())
            return;
        for (int n = 0; n < taskCount; ++n) {
            if (m_places.contains(n))
                continue;
            const auto worker
                = std::next(m_available.begin(), static_cast<long>(runtime.random() % m_available.size()));
            const auto run = static_cast<std::uint32_t>(1000 * m_epoch + ++m_runs);
            m_places[n] = { *worker, run, true };
            sessions->start(*worker, simulatedTask(n, run), {}, "", "",
                [this, n, run](CommandOutcome outcome, const std::string&) { started(n, run, outcome); });
        }
    }

    void started(int n, std::uint32_t run, CommandOutcome outcome)
    {
        const auto it = m_places.find(n);
        if (it == m_places.end() || it->second.run != run)
            return;
        it->second.starting = false;
        if (outcome == CommandOutcome::Refused || outcome == CommandOutcome::NotDelivered)
            m_places.erase(it);
    }

    static int numberOf(const TaskId& task) { return std::stoi(task.work.request.value().substr(1)); }

    void workerAvailable(const WorkerDescription& worker, const LeaseReport& report) override
    {
        m_available.insert(worker.id);
        m_missing.erase(worker.id);
        std::erase_if(
            m_places, [&](const auto& entry) { return entry.second.worker == worker.id && !entry.second.starting; });
        for (const auto& task : report.running)
            m_places[numberOf(task.id)] = { worker.id, task.id.run, false };
    }
    void workerReported(const VmId&, const LeaseReport&) override { }
    void workerChanged(const WorkerDescription&) override { }
    void workerUnreachable(const VmId& worker) override { m_available.erase(worker); }
    void workerLost(const VmId& worker) override
    {
        m_available.erase(worker);
        m_missing.erase(worker);
        std::erase_if(m_places, [&](const auto& entry) { return entry.second.worker == worker; });
    }
    void taskFinished(const VmId& worker, const FinishedTask& task) override
    {
        const auto it = m_places.find(numberOf(task.id));
        if (it != m_places.end() && it->second.worker == worker && it->second.run == task.id.run)
            m_places.erase(it);
    }

    FakeDirectory m_directory;
    std::vector<std::unique_ptr<SimulatedMember>>& m_members;
    CerealJournalCodec m_codec;
    StoreLeaseId m_lease = 0;
    std::vector<MemberId> m_live;
    std::optional<EpochRecord> m_record;
    bool m_leaseExists = false;
    Epoch m_epoch = 0;
    std::uint32_t m_runs = 0;
    std::map<int, Place> m_places;
    std::set<VmId> m_available;
    std::set<VmId> m_missing;
};

} // namespace lycheeledge::test
