// Distributes calls to the admission service over the VMs that may call it.

#include "AdmissionDispatcher.h"

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // Calls that take longer may not use the relays reserved for fast calls, which urgent work needs.
    constexpr Duration slowCallThreshold = std::chrono::milliseconds(100);
    // One in three relays is reserved for fast calls.
    constexpr std::size_t reservedRelayDivisor = 3;
    // One in four relays may call for overdue steps, whatever else is waiting.
    constexpr std::size_t overdueRelayDivisor = 4;
    // Half of the relays may call for overdue long-running steps: together with one in four for other steps, that
    // leaves as many as are reserved for fast calls.
    constexpr std::size_t longRunningRelayDivisor = 2;
    // Added to the service's own time: the round trip to a relay in another data centre and a call in progress there.
    constexpr Duration timeoutMargin = std::chrono::milliseconds(700);

    bool isSlow(const AdmissionPolicy& policy) { return policy.perCall > slowCallThreshold; }

    Duration serviceTime(const AdmissionPolicy& policy, std::size_t workers)
    {
        return policy.perCall + policy.perWorker * static_cast<Duration::rep>(workers);
    }

} // namespace

AdmissionDispatcher::AdmissionDispatcher(Runtime& runtime, AdmissionPort& port)
    : m_runtime(runtime)
    , m_port(port)
{
}

std::size_t AdmissionDispatcher::maxSlowCalls() const
{
    const std::size_t n = m_relays.size();
    return n <= 1 ? n : n - std::max<std::size_t>(1, n / reservedRelayDivisor);
}

std::size_t AdmissionDispatcher::overdueRelays() const
{
    return std::max<std::size_t>(1, m_relays.size() / overdueRelayDivisor);
}

std::size_t AdmissionDispatcher::longRunningRelays() const { return m_relays.size() / longRunningRelayDivisor; }

void AdmissionDispatcher::addRelay(RelayId relay)
{
    m_relays[relay] = { .busy = false, .slow = false, .session = m_nextSession++, .idleSince = m_runtime.now() };
    if (m_onRelayFree)
        m_onRelayFree();
}

void AdmissionDispatcher::removeRelay(RelayId relay) { m_relays.erase(relay); }

void AdmissionDispatcher::clear()
{
    ++m_generation;
    for (auto& [id, relay] : m_relays)
        relay.busy = false;
}

std::size_t AdmissionDispatcher::inProgress() const
{
    return static_cast<std::size_t>(
        std::count_if(m_relays.begin(), m_relays.end(), [](const auto& it) { return it.second.busy; }));
}

// Selects the relay that has been idle longest, because its previous call has certainly ended at the service, too.
std::map<RelayId, AdmissionDispatcher::Relay>::const_iterator AdmissionDispatcher::idleRelay() const
{
    const auto it = std::min_element(m_relays.begin(), m_relays.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.busy, a.second.idleSince) < std::pair(b.second.busy, b.second.idleSince);
    });
    return it == m_relays.end() || it->second.busy ? m_relays.end() : it;
}

bool AdmissionDispatcher::hasFreeRelay(const AdmissionPolicy& policy) const
{
    if (idleRelay() == m_relays.end())
        return false;
    const auto slow = static_cast<std::size_t>(std::count_if(
        m_relays.begin(), m_relays.end(), [](const auto& it) { return it.second.busy && it.second.slow; }));
    return !isSlow(policy) || slow < maxSlowCalls();
}

void AdmissionDispatcher::call(AdmissionRequest request, const AdmissionPolicy& policy, Callback callback)
{
    const RelayId id = idleRelay()->first;
    Relay& relay = m_relays[id];
    relay.busy = true;
    relay.slow = isSlow(policy);
    const Duration timeout = serviceTime(policy, request.workers.size()) + timeoutMargin;
    m_port.call(id, request, timeout,
        [this, id, session = relay.session, generation = m_generation, callback = std::move(callback)](
            const absl::StatusOr<std::vector<AdmissionGrant>>& grants) {
            if (generation != m_generation)
                return;
            const auto it = m_relays.find(id);
            if (it != m_relays.end() && it->second.session == session) {
                it->second.busy = false;
                it->second.idleSince = m_runtime.now();
            }
            callback(grants);
            if (m_onRelayFree)
                m_onRelayFree();
        });
}

} // namespace lycheeledge::jobs
