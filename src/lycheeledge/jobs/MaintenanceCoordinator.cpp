// Executes maintenance waves requested by the operators.

#include "MaintenanceCoordinator.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace lycheeledge::jobs {

namespace {

    std::string progressKey(std::uint64_t wave) { return absl::StrCat("lycheeledge/maintenance/", wave); }

    const char* name(MaintenanceOutcome outcome)
    {
        switch (outcome) {
        case MaintenanceOutcome::Begun:
            return "begun";
        case MaintenanceOutcome::Fenced:
            return "fenced";
        case MaintenanceOutcome::Busy:
            return "busy";
        case MaintenanceOutcome::NotInWave:
            return "not_in_wave";
        case MaintenanceOutcome::NoSuchVm:
            return "no_such_vm";
        case MaintenanceOutcome::Rejected:
            return "rejected";
        case MaintenanceOutcome::Unknown:
            return "no_response";
        }
        return "unknown";
    }

} // namespace

MaintenanceCoordinator::MaintenanceCoordinator(Ports ports, std::string holder, MaintenanceSettings settings)
    : m_runtime(ports.runtime)
    , m_port(ports.vms)
    , m_store(ports.store)
    , m_records(ports.records)
    , m_workers(ports.workers)
    , m_log(ports.log)
    , m_holder(std::move(holder))
    , m_settings(settings)
{
}

void MaintenanceCoordinator::begin(Epoch epoch)
{
    end();
    m_session = std::make_shared<int>();
    m_epoch = epoch;
    m_orderAllowedFrom = m_runtime.now() + m_settings.handoverDelay;
}

void MaintenanceCoordinator::end()
{
    m_session.reset();
    m_waves.clear();
    m_knownWaves.clear();
    m_unreadWaves = 0;
    m_listing = false;
    m_nextList = {};
    if (m_timer)
        m_runtime.cancel(*m_timer);
    m_timer.reset();
}

void MaintenanceCoordinator::add(const MaintenanceWave& wave)
{
    if (!m_session || !m_knownWaves.insert(wave.number).second)
        return;
    ++m_unreadWaves;
    readState(wave);
}

// An earlier owner may have completed the wave or part of it.
void MaintenanceCoordinator::readState(const MaintenanceWave& wave)
{
    read(m_records.waveStateKey(wave.number), [this, wave](const std::string& state) {
        if (state == m_records.waveState(true)) {
            --m_unreadWaves;
            return;
        }
        read(progressKey(wave.number), [this, wave](const std::string& begunVms) {
            --m_unreadWaves;
            start(wave, begunVms);
        });
    });
}

void MaintenanceCoordinator::read(const std::string& key, std::function<void(const std::string&)> done)
{
    m_store.get(key, m_settings.callTimeout,
        [this, key, done = std::move(done), session = Session(m_session)](const absl::StatusOr<StoreValue>& value) {
            if (session.expired())
                return;
            if (value.ok()) {
                done(value->entry ? value->entry->value : std::string());
                return;
            }
            m_log.record("store_unreachable", { { "call", "read_wave" }, { "error", value.status().message() } });
            m_runtime.after(m_settings.retryPause, [this, key, done, session] {
                if (!session.expired())
                    read(key, done);
            });
        });
}

// A lost or late write only causes an unnecessary drain by the next owner, since the provider ignores repeated orders.
void MaintenanceCoordinator::storeProgress(std::uint64_t number)
{
    std::vector<std::string> begunVms;
    for (const auto& [id, vm] : m_waves.at(number).vms) {
        if (vm.phase == MaintenancePhase::Down || vm.phase == MaintenancePhase::Done)
            begunVms.push_back(id.value());
    }
    StoreTransaction transaction;
    transaction.puts = { { progressKey(number), absl::StrJoin(begunVms, " "), std::nullopt } };
    m_store.commit(transaction, m_settings.callTimeout, [this, number](const absl::StatusOr<CommitResult>& result) {
        if (!result.ok())
            m_log.record("wave_progress_not_stored", { { "wave", number }, { "error", result.status().message() } });
    });
}

void MaintenanceCoordinator::start(const MaintenanceWave& wave, const std::string& begunVms)
{
    Wave& added = m_waves[wave.number];
    added.request = wave;
    added.request.maxDown = std::max<std::size_t>(wave.maxDown, 1);
    for (const auto& vm : wave.vms)
        added.vms[vm] = {};
    for (const auto vm : absl::StrSplit(begunVms, ' ', absl::SkipEmpty())) {
        const auto it = added.vms.find(VmId(std::string(vm)));
        if (it != added.vms.end())
            setPhase(it->second, MaintenancePhase::Down); // until the VM list shows that it is up
    }
    m_log.record("wave_started",
        { { "wave", wave.number }, { "vms", wave.vms.size() }, { "max_down", wave.maxDown }, { "epoch", m_epoch } });
    // Conditional on the absence of a state, so that a delayed write does not overwrite a later state.
    StoreTransaction transaction;
    const std::string key = m_records.waveStateKey(wave.number);
    transaction.conditions = { { key, 0 } };
    transaction.puts = { { key, m_records.waveState(false), std::nullopt } };
    m_store.commit(transaction, m_settings.callTimeout, [this, wave](const absl::StatusOr<CommitResult>& result) {
        if (!result.ok())
            m_log.record("wave_state_not_stored", { { "wave", wave.number }, { "error", result.status().message() } });
    });
    schedule();
}

void MaintenanceCoordinator::schedule()
{
    if (m_timer || m_waves.empty())
        return;
    m_timer = m_runtime.after(m_settings.interval, [this] {
        m_timer.reset();
        decide();
        schedule();
    });
}

void MaintenanceCoordinator::setPhase(WaveVm& vm, MaintenancePhase phase)
{
    vm.phase = phase;
    vm.since = m_runtime.now();
}

// --- VM list ---

void MaintenanceCoordinator::requestVmList(
    const std::string& page, TimePoint requestedAt, std::shared_ptr<std::map<VmId, VmRecord>> seen)
{
    m_listing = true;
    m_port.list(page, m_settings.callTimeout,
        [this, requestedAt, seen = std::move(seen), session = Session(m_session)](
            const absl::StatusOr<VmPage>& result) {
            if (session.expired())
                return;
            m_listing = false;
            m_nextList = m_runtime.now() + m_settings.listInterval;
            if (!result.ok()) {
                m_log.record("vm_list_failed", { { "error", result.status().message() } });
                return;
            }
            for (const auto& vm : result->vms)
                (*seen)[vm.vm] = vm;
            if (!result->next.empty())
                requestVmList(result->next, requestedAt, seen);
            else
                applyVmList(*seen, requestedAt);
        });
}

void MaintenanceCoordinator::applyVmList(const std::map<VmId, VmRecord>& seen, TimePoint requestedAt)
{
    for (auto& [number, wave] : m_waves) {
        for (auto& [id, vm] : wave.vms) {
            const auto it = seen.find(id);
            vm.listed = it != seen.end();
            vm.state = vm.listed ? it->second.state : VmState::Down;
            vm.worker = vm.listed ? it->second.worker : WorkerId();
            if (vm.phase == MaintenancePhase::Draining && !vm.worker.value().empty() && vm.worker != vm.drainedWorker)
                drainWorker(number, id, vm);
            // The effect of an unanswered order, or of one by an earlier owner.
            const bool awaitsOrder = vm.phase != MaintenancePhase::Down && vm.phase != MaintenancePhase::Done;
            if (awaitsOrder && vm.state == VmState::InMaintenance && isOnlyWaveOf(id)) {
                setPhase(vm, MaintenancePhase::Down);
                storeProgress(number);
            }
            // Earlier lists may show the VM as it was before its maintenance.
            const bool isBack = vm.state == VmState::Up && requestedAt >= vm.since + m_settings.listLag;
            // It may be down unlisted, too; one that was removed does not come back.
            const bool isGone
                = !vm.listed && requestedAt >= vm.since + m_settings.maintenanceDuration + m_settings.listLag;
            if (vm.phase == MaintenancePhase::Down && (isBack || isGone)) {
                m_workers.setMaintenance(vm.drainedWorker, false);
                setPhase(vm, MaintenancePhase::Done);
            }
        }
    }
}

bool MaintenanceCoordinator::isOnlyWaveOf(const VmId& id) const
{
    const auto waves = std::count_if(m_waves.begin(), m_waves.end(), [&id](const auto& it) {
        const auto vm = it.second.vms.find(id);
        return vm != it.second.vms.end() && vm->second.phase != MaintenancePhase::Done;
    });
    return waves == 1 && m_unreadWaves == 0;
}

// --- Decisions ---

void MaintenanceCoordinator::decide()
{
    if (!m_listing && m_runtime.now() >= m_nextList)
        requestVmList({}, m_runtime.now(), std::make_shared<std::map<VmId, VmRecord>>());
    for (auto& [number, wave] : m_waves)
        decide(number, wave);
}

void MaintenanceCoordinator::decide(std::uint64_t number, Wave& wave)
{
    if (wave.completed)
        return;
    const Duration timeout = drainTimeout(wave.request, m_settings.maintenanceDuration);
    for (auto& [id, vm] : wave.vms) {
        if (vm.phase != MaintenancePhase::Draining)
            continue;
        m_workers.setMaintenance(vm.drainedWorker, true); // it may have come back under the same id
        vm.runs = m_workers.drain(vm.drainedWorker, m_runtime.now() - vm.since > timeout);
    }
    const MaintenanceActions actions = planMaintenance(wave.request, wave.vms, m_runtime.now());
    for (const auto& id : actions.drain)
        drainWorker(number, id, wave.vms.at(id));
    if (m_runtime.now() >= m_orderAllowedFrom) {
        for (const auto& id : actions.order)
            sendOrder(number, id);
    }
    const bool done = std::all_of(
        wave.vms.begin(), wave.vms.end(), [](const auto& it) { return it.second.phase == MaintenancePhase::Done; });
    if (done) {
        wave.completed = true;
        reportCompleted(number);
    }
}

void MaintenanceCoordinator::drainWorker(std::uint64_t number, const VmId& id, WaveVm& vm)
{
    if (!vm.drainedWorker.value().empty())
        m_workers.setMaintenance(vm.drainedWorker, false);
    vm.drainedWorker = vm.worker;
    m_workers.setMaintenance(vm.drainedWorker, true);
    vm.runs = m_workers.drain(vm.drainedWorker, false);
    setPhase(vm, MaintenancePhase::Draining);
    m_log.record("vm_draining",
        { { "wave", number }, { "vm", id.value() }, { "worker", vm.drainedWorker.value() }, { "runs", vm.runs } });
}

// --- Orders ---

void MaintenanceCoordinator::sendOrder(std::uint64_t number, const VmId& id)
{
    setPhase(m_waves.at(number).vms.at(id), MaintenancePhase::OrderPending);
    m_port.beginMaintenance({ .vm = id, .wave = number, .holder = m_holder, .epoch = m_epoch }, m_settings.callTimeout,
        [this, number, id, session = Session(m_session)](MaintenanceOutcome outcome) {
            if (!session.expired())
                handleOrderReply(number, id, outcome);
        });
}

void MaintenanceCoordinator::handleOrderReply(std::uint64_t number, const VmId& id, MaintenanceOutcome outcome)
{
    const auto wave = m_waves.find(number);
    if (wave == m_waves.end())
        return;
    WaveVm& vm = wave->second.vms.at(id);
    if (vm.phase != MaintenancePhase::OrderPending)
        return; // the VM list has already shown the effect
    m_log.record("maintenance_ordered",
        { { "wave", number }, { "vm", id.value() }, { "epoch", m_epoch }, { "outcome", name(outcome) } });
    switch (outcome) {
    case MaintenanceOutcome::Begun:
        setPhase(vm, MaintenancePhase::Down);
        storeProgress(number);
        return;
    case MaintenanceOutcome::NotInWave:
    case MaintenanceOutcome::NoSuchVm:
        m_workers.setMaintenance(vm.drainedWorker, false);
        setPhase(vm, MaintenancePhase::Done);
        return;
    case MaintenanceOutcome::Fenced:
        // Another owner is active, and this one will learn of it from the store. No further order is sent for this VM.
        return;
    case MaintenanceOutcome::Unknown:
        vm.orderUnanswered = true;
        break;
    case MaintenanceOutcome::Busy:
    case MaintenanceOutcome::Rejected:
        break;
    }
    // Repeated until it is answered: an order that was executed is confirmed, and not executed again.
    vm.phase = MaintenancePhase::Draining;
    vm.earliestOrder = m_runtime.now() + m_settings.retryPause;
}

void MaintenanceCoordinator::reportCompleted(std::uint64_t number)
{
    StoreTransaction transaction;
    transaction.puts = { { m_records.waveStateKey(number), m_records.waveState(true), std::nullopt } };
    m_store.commit(transaction, m_settings.callTimeout,
        [this, number, session = Session(m_session)](const absl::StatusOr<CommitResult>& result) {
            if (session.expired())
                return;
            if (!result.ok()) {
                m_log.record("wave_state_not_stored", { { "wave", number }, { "error", result.status().message() } });
                m_runtime.after(m_settings.retryPause, [this, number, session] {
                    if (!session.expired())
                        reportCompleted(number);
                });
                return;
            }
            m_log.record("wave_completed", { { "wave", number } });
            m_waves.erase(number);
        });
}

} // namespace lycheeledge::jobs
