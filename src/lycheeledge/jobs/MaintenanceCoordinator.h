// Executes maintenance waves requested by the operators: lists VMs, drains their workers, orders maintenance and
// reports the state of each wave.
#pragma once

#include "../coordination/Runtime.h"
#include "ClusterStore.h"
#include "EventLog.h"
#include "MaintenancePlan.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lycheeledge::jobs {

struct MaintenanceSettings {
    Duration interval = std::chrono::milliseconds(200); ///< between decisions while a wave is in progress
    Duration listInterval = std::chrono::milliseconds(1000); ///< each listing costs one call per page
    Duration callTimeout = std::chrono::milliseconds(900);
    Duration retryPause = std::chrono::milliseconds(500); ///< before an order with an unknown outcome is repeated
    Duration maintenanceDuration = std::chrono::seconds(2); ///< how long a VM is down (bound set by the platform)
    Duration listLag = std::chrono::seconds(2); ///< how far the provider's list lags behind the state of a VM
    /// A new owner sends no order for this time: the platform rejects orders of another member before it has passed.
    Duration handoverDelay = std::chrono::milliseconds(3000);
};

/** @brief Moves tasks away from workers whose VM will go down. */
class WorkerDrainer {
public:
    virtual ~WorkerDrainer() = default;

    /** @brief Excludes the worker from placement, or makes it eligible again. */
    virtual void setMaintenance(const WorkerId& worker, bool isDraining) = 0;
    /**
     * @brief Stops long-running tasks, as far as the limits on unavailable tasks allow, so that they restart elsewhere.
     * @param force whether to stop tasks that would end by themselves, too.
     * @return number of runs that still exist on the worker.
     */
    virtual std::size_t drain(const WorkerId& worker, bool force) = 0;
};

/** @brief Executes maintenance waves while this member is the owner. */
class MaintenanceCoordinator {
public:
    struct Ports {
        Runtime& runtime;
        VmPort& vms;
        ClusterStore& store;
        const PlatformRecords& records;
        WorkerDrainer& workers;
        EventLog& log;
    };

    /** @param holder name of this member, under which it orders maintenance. */
    MaintenanceCoordinator(Ports ports, std::string holder, MaintenanceSettings settings = {});
    ~MaintenanceCoordinator() { end(); }
    MaintenanceCoordinator(const MaintenanceCoordinator&) = delete;
    MaintenanceCoordinator& operator=(const MaintenanceCoordinator&) = delete;

    void begin(Epoch epoch);
    void end();
    /** @brief Adds a requested wave. A wave that is already known is ignored. */
    void add(const MaintenanceWave& wave);

private:
    struct Wave {
        MaintenanceWave request;
        std::map<VmId, WaveVm> vms;
        bool completed = false; ///< all VMs are done; completion is being reported
    };
    using Session = std::weak_ptr<int>;

    void readState(const MaintenanceWave& wave);
    void read(const std::string& key, std::function<void(const std::string&)> done);
    /** @param begunVms VMs whose maintenance an earlier owner has begun, separated by spaces. */
    void start(const MaintenanceWave& wave, const std::string& begunVms);
    void storeProgress(std::uint64_t number);
    void schedule();
    void decide();
    void decide(std::uint64_t number, Wave& wave);
    void requestVmList(const std::string& page, TimePoint requestedAt, std::shared_ptr<std::map<VmId, VmRecord>> seen);
    /** @param requestedAt when the first page was requested. */
    void applyVmList(const std::map<VmId, VmRecord>& seen, TimePoint requestedAt);
    /** @brief Whether no other wave that is in progress names the VM, so that its maintenance is that of this one. */
    bool isOnlyWaveOf(const VmId& id) const;
    /** @brief Begins to drain the VM's worker, also if another one was drained before. */
    void drainWorker(std::uint64_t number, const VmId& id, WaveVm& vm);
    void sendOrder(std::uint64_t number, const VmId& id);
    void handleOrderReply(std::uint64_t number, const VmId& id, MaintenanceOutcome outcome);
    void reportCompleted(std::uint64_t number);
    void setPhase(WaveVm& vm, MaintenancePhase phase);

    Runtime& m_runtime;
    VmPort& m_port;
    ClusterStore& m_store;
    const PlatformRecords& m_records;
    WorkerDrainer& m_workers;
    EventLog& m_log;
    std::string m_holder;
    MaintenanceSettings m_settings;
    Epoch m_epoch = 0;
    TimePoint m_orderAllowedFrom;
    std::map<std::uint64_t, Wave> m_waves; ///< in progress
    std::set<std::uint64_t> m_knownWaves; ///< includes completed waves
    std::size_t m_unreadWaves = 0; ///< known, and not yet read whether an earlier owner has completed them
    std::optional<Runtime::TimerId> m_timer;
    bool m_listing = false;
    TimePoint m_nextList;
    std::shared_ptr<int> m_session;
};

} // namespace lycheeledge::jobs
