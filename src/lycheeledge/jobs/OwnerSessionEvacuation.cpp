// State of one period of ownership: operators' requests to evacuate a data centre.

#include "OwnerSession.h"

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

void OwnerSession::readEvacuations()
{
    if (m_evacuationRead) {
        m_evacuationRead->repeat = true;
        return;
    }
    m_evacuationRead = EvacuationRead { .sentAt = m_runtime.now(), .entries = {} };
    readEvacuationPage({});
}

void OwnerSession::readEvacuationPage(const std::string& after)
{
    m_store.list(m_records.evacuationPrefix(), after, m_settings.callTimeout,
        [this, after, session = SessionToken(m_sessionToken)](const absl::StatusOr<StorePage>& page) {
            if (session.expired())
                return;
            if (!page.ok()) {
                m_log.record(
                    "store_unreachable", { { "call", "list_evacuations" }, { "error", page.status().message() } });
                retryLater([this] {
                    m_evacuationRead.reset();
                    readEvacuations();
                });
                return;
            }
            EvacuationRead& read = *m_evacuationRead;
            read.asOf = after.empty() ? page->asOf : std::min(read.asOf, page->asOf);
            read.entries.insert(read.entries.end(), page->entries.begin(), page->entries.end());
            if (page->truncated && !page->entries.empty())
                readEvacuationPage(page->entries.back().key);
            else
                finishEvacuationRead();
        });
}

void OwnerSession::finishEvacuationRead()
{
    const EvacuationRead read = *std::exchange(m_evacuationRead, std::nullopt);
    std::vector<EvacuationRequest> requests;
    for (const auto& entry : read.entries) {
        EvacuationRequest request { entry.key.substr(m_records.evacuationPrefix().size()), entry.modRevision };
        if (m_evacuations.isValid(request.dataCentre))
            requests.push_back(std::move(request));
        else
            logUnreadableEvacuation(entry.key);
    }
    for (const auto& change : m_evacuations.replace(requests, read.asOf))
        logEvacuation(change);
    m_operatorView.completeUpTo(read.sentAt);
    noteStaleView();
    if (!std::exchange(m_evacuationsKnown, true)) {
        --m_missingReads;
        finishRecoveryIfComplete();
    }
    if (read.repeat)
        readEvacuations();
}

void OwnerSession::applyEvacuation(const StoreEvent& event)
{
    const EvacuationChange change { event.key.substr(m_records.evacuationPrefix().size()), event.revision,
        event.value.has_value() };
    if (change.requested && !m_evacuations.isValid(change.dataCentre))
        logUnreadableEvacuation(event.key);
    else if (m_evacuations.apply(change))
        logEvacuation(change);
}

void OwnerSession::logUnreadableEvacuation(const std::string& key)
{
    m_log.record("evacuation_unreadable", { { "key", key }, { "error", "names no data centre of the settings" } });
}

void OwnerSession::logEvacuation(const EvacuationChange& change)
{
    if (change.requested)
        m_log.record("evacuation_requested",
            { { "data_centre", change.dataCentre }, { "revision", change.revision },
                { "runs", runsIn(change.dataCentre) } });
    else
        m_log.record("evacuation_ended", { { "data_centre", change.dataCentre }, { "revision", change.revision } });
}

std::size_t OwnerSession::runsIn(const std::string& dataCentre) const
{
    std::size_t runs = 0;
    for (const auto& [id, worker] : m_scheduler.workers().all())
        runs += worker.record.dataCentre == dataCentre ? worker.runs.size() : 0;
    return runs;
}

std::size_t OwnerSession::evacuatedRuns() const
{
    std::size_t runs = 0;
    for (const auto& [id, worker] : m_scheduler.workers().all())
        runs += isEvacuated(worker.record.dataCentre) ? worker.runs.size() : 0;
    return runs;
}

void OwnerSession::operatorsSeen(TimePoint sentAt)
{
    // While the list is being read, changes that an earlier watch has missed may be unknown.
    if (!m_evacuationRead)
        m_operatorView.completeUpTo(sentAt);
    noteStaleView();
}

void OwnerSession::noteStaleView()
{
    const bool isStale = m_activated && isViewStale();
    if (std::exchange(m_startsWithheld, isStale) == isStale)
        return;
    const Duration age = m_runtime.now() - m_operatorView.completeUpTo();
    m_log.record(isStale ? "starts_withheld" : "starts_resumed",
        { { "epoch", m_epoch }, { "view_age_ms", std::chrono::duration<double, std::milli>(age).count() } });
}

} // namespace lycheeledge::jobs
