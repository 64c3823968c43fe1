// Carries out the operators' maintenance waves: lists VMs, drains workers, gives the orders, reports the state.
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
    Duration interval = std::chrono::milliseconds(200); ///< between decisions, while a wave goes on
    Duration listInterval = std::chrono::milliseconds(1000); ///< each list costs a call for each page
    Duration callTimeout = std::chrono::milliseconds(900);
    Duration retryPause = std::chrono::milliseconds(500); ///< before an order whose fate is not known is repeated
    Duration maintenanceTime = std::chrono::seconds(2); ///< that a VM is down (platform's bound)
    Duration listLag = std::chrono::seconds(2); ///< of the provider's list behind the state of a VM
    /// A new owner gives no order for so long: members that take turns sooner are refused (platform's bound).
    Duration turnPause = std::chrono::milliseconds(3000);
};

/** @brief Moves tasks away from workers whose VM goes down. */
class WorkerDrainer {
public:
    virtual ~WorkerDrainer() = default;

    /** @brief The worker gets no new task, or gets tasks again. */
    virtual void setMaintenance(const WorkerId& worker, bool isDraining) = 0;
    /**
     * @brief Moves tasks that run until cancelled, as far as the limits on unavailable tasks allow.
     * @param force also stops tasks that would end by themselves.
     * @return tasks that are still there.
     */
    virtual std::size_t drain(const WorkerId& worker, bool force) = 0;
};

class MaintenanceDesk {
public:
    struct Ports {
        Runtime& runtime;
        VmPort& vms;
        ClusterStore& store;
        const PlatformRecords& records;
        WorkerDrainer& workers;
        EventLog& log;
    };

    /** @param holder name of this member. */
    MaintenanceDesk(Ports ports, std::string holder, MaintenanceSettings settings = {});
    ~MaintenanceDesk() { end(); }
    MaintenanceDesk(const MaintenanceDesk&) = delete;
    MaintenanceDesk& operator=(const MaintenanceDesk&) = delete;

    void begin(Epoch epoch);
    void end();
    /** @brief A wave is asked for; one that is known already is left as it is. */
    void add(const MaintenanceWave& wave);

private:
    struct Wave {
        MaintenanceWave request;
        std::map<VmId, WaveVm> vms;
        bool completed = false; ///< all VMs are done; to be reported
    };
    using Session = std::weak_ptr<int>;

    void readState(const MaintenanceWave& wave);
    void read(const std::string& key, std::function<void(const std::string&)> done);
    /** @param done VMs whose maintenance an earlier owner has begun, separated by spaces. */
    void start(const MaintenanceWave& wave, const std::string& done);
    void storeProgress(std::uint64_t number);
    void schedule();
    void decide();
    void decide(std::uint64_t number, Wave& wave);
    void list(const std::string& page, std::shared_ptr<std::map<VmId, VmRecord>> seen);
    void listed(const std::map<VmId, VmRecord>& seen);
    void order(std::uint64_t number, const VmId& id);
    void ordered(std::uint64_t number, const VmId& id, MaintenanceOutcome outcome);
    void reportCompleted(std::uint64_t number);
    void enter(WaveVm& vm, MaintenancePhase phase);

    Runtime& m_runtime;
    VmPort& m_port;
    ClusterStore& m_store;
    const PlatformRecords& m_records;
    WorkerDrainer& m_workers;
    EventLog& m_log;
    std::string m_holder;
    MaintenanceSettings m_settings;
    Epoch m_epoch = 0;
    TimePoint m_mayOrderFrom;
    std::map<std::uint64_t, Wave> m_waves; ///< in progress
    std::set<std::uint64_t> m_known; ///< also those that are completed
    std::optional<Runtime::TimerId> m_timer;
    bool m_listing = false;
    TimePoint m_nextList;
    std::shared_ptr<int> m_session;
};

} // namespace lycheeledge::jobs
