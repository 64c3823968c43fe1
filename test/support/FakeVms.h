// Simulated provider of the workers' VMs on a manually advanced clock: paged list, and maintenance with fencing.
#pragma once

#include "ManualRuntime.h"

#include <lycheeledge/jobs/VmPort.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheeledge::test {

class FakeVms final : public jobs::VmPort {
public:
    explicit FakeVms(ManualRuntime& runtime)
        : m_runtime(runtime)
    {
    }

    Duration maintenanceDuration = std::chrono::seconds(2);
    std::size_t pageSize = 2;
    bool losesResponses = false; ///< orders are executed, but their responses are lost
    bool losesOrders = false; ///< orders are not executed, and get no response
    std::set<std::string> unlisted; ///< VMs that exist, but are missing from the list
    /// Called when a VM goes down for maintenance, with the worker that ran on it, and when the VM is up again. The
    /// second call returns the id of the VM's new worker.
    std::function<void(const jobs::WorkerId&)> wentDown = [](const jobs::WorkerId&) {};
    std::function<jobs::WorkerId(const VmId&)> cameBack = [](const VmId& vm) { return jobs::WorkerId(vm.value()); };

    void add(const std::string& vm, const std::string& worker)
    {
        m_vms[VmId(vm)] = { .worker = jobs::WorkerId(worker) };
    }
    void remove(const std::string& vm) { m_vms.erase(VmId(vm)); }
    /** @brief A crashed worker of the VM has come back under another id. */
    void replaceWorker(const std::string& vm, const std::string& worker)
    {
        m_vms.at(VmId(vm)).worker = jobs::WorkerId(worker);
    }
    const jobs::WorkerId& workerOf(const std::string& vm) const { return m_vms.at(VmId(vm)).worker; }
    std::size_t down() const { return m_down; }
    std::size_t mostDown() const { return m_maxDown; }
    std::size_t maintained() const { return m_maintenanceCount; }

    void list(const std::string& page, Duration, std::function<void(absl::StatusOr<jobs::VmPage>)> done) override
    {
        jobs::VmPage result;
        for (const auto& [id, vm] : m_vms) {
            if (id.value() <= page || unlisted.contains(id.value()))
                continue;
            if (result.vms.size() == pageSize) {
                result.next = result.vms.back().vm.value();
                break;
            }
            result.vms.push_back({ id, vm.state, vm.worker });
        }
        m_runtime.after(callLatency, [done, result] { done(result); });
    }

    void beginMaintenance(const jobs::MaintenanceOrder& order, Duration timeout,
        std::function<void(jobs::MaintenanceOutcome)> done) override
    {
        const auto outcome = losesOrders ? jobs::MaintenanceOutcome::Unknown : execute(order);
        if (losesResponses || losesOrders)
            m_runtime.after(timeout, [done] { done(jobs::MaintenanceOutcome::Unknown); });
        else
            m_runtime.after(callLatency, [done, outcome] { done(outcome); });
    }

private:
    static constexpr Duration callLatency = std::chrono::milliseconds(8);

    struct Vm {
        jobs::WorkerId worker;
        jobs::VmState state = jobs::VmState::Up;
        Epoch epoch = 0;
        std::set<std::uint64_t> waves {}; ///< whose maintenance has begun
    };

    jobs::MaintenanceOutcome execute(const jobs::MaintenanceOrder& order)
    {
        const auto it = m_vms.find(order.vm);
        if (it == m_vms.end())
            return jobs::MaintenanceOutcome::NoSuchVm;
        Vm& vm = it->second;
        if (order.epoch < vm.epoch)
            return jobs::MaintenanceOutcome::Fenced;
        vm.epoch = order.epoch;
        if (vm.waves.contains(order.wave))
            return jobs::MaintenanceOutcome::Begun;
        if (vm.state != jobs::VmState::Up)
            return jobs::MaintenanceOutcome::Busy;
        vm.waves.insert(order.wave);
        vm.state = jobs::VmState::InMaintenance;
        wentDown(vm.worker);
        vm.worker = {};
        ++m_maintenanceCount;
        m_maxDown = std::max(m_maxDown, ++m_down);
        m_runtime.after(maintenanceDuration, [this, id = order.vm] {
            --m_down;
            m_vms[id].state = jobs::VmState::Up;
            m_vms[id].worker = cameBack(id);
        });
        return jobs::MaintenanceOutcome::Begun;
    }

    ManualRuntime& m_runtime;
    std::map<VmId, Vm> m_vms;
    std::size_t m_down = 0;
    std::size_t m_maxDown = 0;
    std::size_t m_maintenanceCount = 0;
};

} // namespace lycheeledge::test
