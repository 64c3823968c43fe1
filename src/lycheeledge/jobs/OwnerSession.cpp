// State of one period of ownership: recovers jobs from the store and feeds the scheduler until the ownership ends.

#include "OwnerSession.h"

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // Starts wait for the answer, while repeated calls during a failing read of the evacuations stay few.
    constexpr Duration staleWatchWait = std::chrono::milliseconds(50);

} // namespace

OwnerSession::OwnerSession(Ports ports, JobSchedulerSettings scheduler, JobServiceSettings service,
    LedgerSettings ledger, MaintenanceSettings maintenance, OwnerSessionSettings settings)
    : m_runtime(ports.runtime)
    , m_store(ports.store)
    , m_records(ports.records)
    , m_codec(ports.codec)
    , m_log(ports.log)
    , m_lease(ports.lease)
    , m_unixMs(std::move(ports.unixMs))
    , m_onActivated(std::move(ports.activated))
    , m_settings(std::move(settings))
    , m_ledger(m_runtime, m_store, m_codec, m_log, m_records.configurationKey(), ledger)
    , m_scheduler({ m_runtime, ports.workers, ports.admission, m_ledger, m_log, *this }, scheduler)
    , m_service({ m_runtime, m_scheduler, m_ledger, ports.submissions, m_log, *this }, service)
    , m_maintenance(
          { m_runtime, ports.vms, m_store, m_records, m_scheduler, m_log }, std::move(ports.member), maintenance)
    , m_maxPayloadBytes(scheduler.maxWorkBytes / 2)
    , m_evacuations(m_settings.dataCentres)
    , m_operatorView(m_settings.evacuationLimit)
{
    m_ledger.setSource(this);
}

OwnerSession::~OwnerSession() { (void)end(); }

void OwnerSession::begin(Epoch epoch, const std::string& headValue, Revision headRevision)
{
    (void)end();
    m_sessionToken = std::make_shared<int>();
    m_epoch = epoch;
    m_beganAt = m_runtime.now();
    m_ledger.open(headValue, headRevision);
    m_scheduler.begin(epoch);
    m_maintenance.begin(epoch);
    m_headRevision = headRevision;
    m_missingReads = 7;
    const auto complete = [this] {
        --m_missingReads;
        finishRecoveryIfComplete();
    };
    readConfiguration();
    readEvacuations();
    readPages(
        m_ledger.keys().submissionPrefix, [this](const StoreEntry& entry) { readSubmission(entry); }, complete);
    readPages(
        m_ledger.keys().progressPrefix, [this](const StoreEntry& entry) { readProgress(entry); }, complete);
    readPages(
        m_records.workerPrefix(), [this](const StoreEntry& entry) { m_registry.push_back(entry); }, complete);
    readRecord(m_ledger.keys().workers, m_workerSet, complete);
    readRecord(m_ledger.keys().workerCapacities, m_workerCapacities, complete);
}

std::vector<JobService::UnfinishedCall> OwnerSession::end()
{
    m_sessionToken.reset();
    m_activated = false;
    m_ledger.close();
    m_maintenance.end();
    auto unfinished = m_service.end();
    m_scheduler.end();
    m_configuration.reset();
    m_submissions.clear();
    m_progress.clear();
    m_payloadBytes = 0;
    m_registry.clear();
    m_workerSet.clear();
    m_workerCapacities.clear();
    m_watchingOperator = false;
    m_evacuations.clear();
    m_evacuationRead.reset();
    m_evacuationsKnown = false;
    m_operatorView.reset();
    m_startsWithheld = false;
    return unfinished;
}

void OwnerSession::handle(const ClientCall& call, JobService::Reply reply) { m_service.handle(call, std::move(reply)); }

void OwnerSession::retryLater(std::function<void()> step)
{
    m_runtime.after(m_settings.retryPause, [step = std::move(step), session = SessionToken(m_sessionToken)] {
        if (!session.expired())
            step();
    });
}

// --- Configuration ---

void OwnerSession::readConfiguration()
{
    const TimePoint sentAt = m_runtime.now();
    m_store.get(m_records.configurationKey(), m_settings.callTimeout,
        [this, sentAt, session = SessionToken(m_sessionToken)](const absl::StatusOr<StoreValue>& value) {
            if (session.expired())
                return;
            // A configuration that was removed stays in force, and the watch goes on.
            if (!value.ok() || (!value->entry && !m_configuration)) {
                if (!value.ok())
                    m_log.record("store_unreachable",
                        { { "call", "read_configuration" }, { "error", value.status().message() } });
                retryLater([this] { readConfiguration(); });
                return;
            }
            if (value->entry)
                applyConfiguration(*value->entry);
            m_service.configurationConfirmed(sentAt);
            const bool isFirst = !std::exchange(m_watchingOperator, true);
            if (isFirst) {
                --m_missingReads;
                finishRecoveryIfComplete();
            } else
                readEvacuations();
            readWaves(); // the watch below starts after this revision and misses waves written before
            // The first list of evacuations was requested together with the configuration, after the claim, and may be
            // of a lower revision than this.
            watchOperator(isFirst ? std::min(m_headRevision, value->asOf) : value->asOf);
        });
}

void OwnerSession::watchOperator(Revision after)
{
    const TimePoint sentAt = m_runtime.now();
    const Duration wait = isViewStale() ? staleWatchWait : m_operatorView.watchWait(m_settings.operatorWatchWait);
    m_store.watch(m_records.operatorPrefix(), after, wait, m_settings.callTimeout,
        [this, sentAt, after, session = SessionToken(m_sessionToken)](const absl::StatusOr<StoreEvents>& events) {
            if (session.expired())
                return;
            if (!events.ok()) {
                // Changes may have been missed, so the records are read again.
                retryLater([this] { readConfiguration(); });
                return;
            }
            for (const auto& event : events->events) {
                if (event.key.starts_with(m_records.evacuationPrefix()))
                    applyEvacuation(event);
                if (!event.value)
                    continue;
                const StoreEntry entry { event.key, *event.value, event.revision };
                if (event.key == m_records.configurationKey())
                    applyConfiguration(entry);
                else if (event.key.starts_with(m_records.wavePrefix()))
                    applyWave(entry);
            }
            m_service.configurationConfirmed(sentAt);
            m_lease.storeAnswered(sentAt);
            operatorsSeen(sentAt);
            watchOperator(std::max(after, events->asOf));
        });
}

void OwnerSession::applyConfiguration(const StoreEntry& entry)
{
    if (m_configuration && entry.modRevision < m_configuration->revision)
        return;
    if (!m_configuration || entry.modRevision > m_configuration->revision) {
        auto configuration = m_records.configuration(entry);
        if (!configuration.ok()) {
            m_log.record("configuration_unreadable",
                { { "revision", entry.modRevision }, { "error", configuration.status().message() } });
            return;
        }
        m_configuration = std::make_shared<const ClusterConfiguration>(*std::move(configuration));
        m_log.record("configuration_applied",
            { { "version", m_configuration->version }, { "revision", m_configuration->revision },
                { "queues", m_configuration->queues.size() }, { "accounts", m_configuration->accounts.size() } });
        m_scheduler.setConfiguration(m_configuration);
    }
    m_service.setConfiguration(m_configuration);
}

// --- Maintenance waves ---

void OwnerSession::readWaves()
{
    m_waves.clear();
    readPages(
        m_records.wavePrefix(), [this](const StoreEntry& entry) { m_waves.push_back(entry); },
        [this] {
            for (const auto& entry : std::exchange(m_waves, {}))
                applyWave(entry);
        });
}

void OwnerSession::applyWave(const StoreEntry& entry)
{
    const auto wave = m_records.wave(entry);
    if (wave.ok())
        m_maintenance.add(*wave);
    else
        m_log.record("wave_unreadable", { { "key", entry.key }, { "error", wave.status().message() } });
}

// --- Recovery ---

void OwnerSession::readPages(
    const std::string& prefix, EntryHandler handle, std::function<void()> done, const std::string& after)
{
    m_store.list(prefix, after, m_settings.callTimeout,
        [this, prefix, handle = std::move(handle), done = std::move(done), after,
            session = SessionToken(m_sessionToken)](const absl::StatusOr<StorePage>& page) {
            if (session.expired())
                return;
            if (!page.ok()) {
                m_log.record("store_unreachable", { { "call", "list" }, { "error", page.status().message() } });
                retryLater([this, prefix, handle, done, after] { readPages(prefix, handle, done, after); });
                return;
            }
            for (const auto& entry : page->entries)
                handle(entry);
            if (page->truncated && !page->entries.empty())
                readPages(prefix, handle, done, page->entries.back().key);
            else
                done();
        });
}

// Leaves `into` empty if the record does not exist.
void OwnerSession::readRecord(const std::string& key, std::string& into, std::function<void()> done)
{
    m_store.get(key, m_settings.callTimeout,
        [this, key, &into, done = std::move(done), session = SessionToken(m_sessionToken)](
            const absl::StatusOr<StoreValue>& value) {
            if (session.expired())
                return;
            if (!value.ok()) {
                retryLater([this, key, &into, done] { readRecord(key, into, done); });
                return;
            }
            if (value->entry)
                into = value->entry->value;
            done();
        });
}

// Records are decoded as they arrive, so that the encoded form of only one page is in memory.
void OwnerSession::readSubmission(const StoreEntry& entry)
{
    auto record = m_codec.decodeSubmission(entry.value);
    if (!record.ok()) {
        m_log.record("record_unreadable", { { "key", entry.key }, { "error", record.status().message() } });
        return;
    }
    RecoveredSubmission submission { .record = *std::move(record) };
    m_payloadBytes += submission.record.spec.payload.size();
    if (m_maxPayloadBytes > 0 && m_payloadBytes > m_maxPayloadBytes) {
        submission.record.spec.payload = {};
        submission.hasPayload = false;
    }
    m_submissions.insert_or_assign(
        JobId(entry.key.substr(m_ledger.keys().submissionPrefix.size())), std::move(submission));
}

void OwnerSession::readPayload(const JobId& job, std::function<void(std::optional<std::string>)> done)
{
    m_store.get(m_ledger.keys().submissionPrefix + job.value(), m_settings.callTimeout,
        [this, job, done = std::move(done), session = SessionToken(m_sessionToken)](
            const absl::StatusOr<StoreValue>& value) {
            if (session.expired())
                return;
            if (!value.ok() || !value->entry) {
                m_log.record("payload_unreadable",
                    { { "job", job.value() }, { "error", value.ok() ? "no record" : value.status().message() } });
                done(std::nullopt);
                return;
            }
            auto record = m_codec.decodeSubmission(value->entry->value);
            done(record.ok() ? std::optional(std::move(record->spec.payload)) : std::nullopt);
        });
}

void OwnerSession::readProgress(const StoreEntry& entry)
{
    if (auto record = m_codec.decodeProgress(entry.value); record.ok())
        m_progress.insert_or_assign(JobId(entry.key.substr(m_ledger.keys().progressPrefix.size())), *std::move(record));
    else
        m_log.record("record_unreadable", { { "key", entry.key }, { "error", record.status().message() } });
}

WorkerSetRecord OwnerSession::decodeWorkerSet()
{
    if (m_workerSet.empty())
        return {};
    auto set = m_codec.decodeWorkerSet(m_workerSet);
    if (!set.ok()) {
        m_log.record("worker_set_unreadable", { { "error", set.status().message() } });
        return {};
    }
    if (m_workerCapacities.empty())
        return *std::move(set);
    if (const auto status = m_codec.decodeCapacities(m_workerCapacities, *set); !status.ok())
        m_log.record("worker_capacities_unreadable", { { "error", status.message() } });
    return *std::move(set);
}

void OwnerSession::finishRecoveryIfComplete()
{
    if (m_missingReads == 0 && !m_activated)
        finishRecovery();
}

void OwnerSession::finishRecovery()
{
    while (!m_progress.empty()) {
        auto progress = m_progress.extract(m_progress.begin());
        auto submission = m_submissions.extract(progress.key());
        m_scheduler.recover(progress.key(),
            submission.empty() ? std::nullopt : std::optional(std::move(submission.mapped())),
            std::move(progress.mapped()));
    }
    while (!m_submissions.empty()) {
        auto submission = m_submissions.extract(m_submissions.begin());
        m_scheduler.recover(submission.key(), std::move(submission.mapped()), std::nullopt);
    }
    m_scheduler.recoverWorkers(decodeWorkerSet());
    m_scheduler.setWorkers(decodeRegistry(m_registry));
    m_activated = true;
    m_scheduler.activate();
    m_log.record("owner_recovered",
        { { "epoch", m_epoch },
            { "after_ms", std::chrono::duration<double, std::milli>(m_runtime.now() - m_beganAt).count() } });
    scheduleRegistryRead();
    m_onActivated();
}

// --- Registry ---

std::vector<WorkerRecord> OwnerSession::decodeRegistry(const std::vector<StoreEntry>& entries)
{
    std::vector<WorkerRecord> records;
    for (const auto& entry : entries) {
        auto record = m_records.worker(entry);
        if (record.ok())
            records.push_back(*std::move(record));
        else if (m_loggedUnreadable.insert(entry.key).second)
            m_log.record("worker_entry_unreadable", { { "key", entry.key }, { "error", record.status().message() } });
    }
    return records;
}

void OwnerSession::scheduleRegistryRead()
{
    const std::size_t workers = m_scheduler.workers().all().size();
    const auto factor
        = static_cast<Duration::rep>(std::max<std::size_t>(1, workers / m_settings.workersPerRegistryInterval));
    const Duration interval = std::min(m_settings.registryInterval * factor, m_settings.maxRegistryInterval);
    m_runtime.after(interval, [this, session = SessionToken(m_sessionToken)] {
        if (!session.expired())
            readRegistry();
    });
}

void OwnerSession::readRegistry()
{
    m_registry.clear();
    readPages(
        m_records.workerPrefix(), [this](const StoreEntry& entry) { m_registry.push_back(entry); },
        [this] {
            m_scheduler.setWorkers(decodeRegistry(m_registry));
            scheduleRegistryRead();
        });
}

// --- Confirmation and loss of ownership ---

void OwnerSession::changeStored(const JobId& job, const JobChange& change)
{
    if (m_ledger.lastCommit())
        m_lease.confirmed(*m_ledger.lastCommit());
    m_scheduler.changeStored(job, change);
}

void OwnerSession::ledgerLost()
{
    m_runtime.post([this, session = SessionToken(m_sessionToken)] {
        if (!session.expired())
            m_lease.dropOwnership("another owner has written the head record");
    });
}

void OwnerSession::fenced()
{
    m_runtime.post([this, session = SessionToken(m_sessionToken)] {
        if (!session.expired())
            m_lease.dropOwnership("a worker has accepted a higher epoch");
    });
}

} // namespace lycheeledge::jobs
