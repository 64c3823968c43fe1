// Questions to the admission service, spread over the VMs that may call it.

#include "AdmissionDesk.h"

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // Questions that take longer may not use the relays kept for urgent work.
    constexpr Duration slowCall = std::chrono::milliseconds(100);
    // Of the relays, one in three is kept for quick questions.
    constexpr std::size_t quickPart = 3;
    // Beyond the service's own time: the path to a relay in another data centre, twice, and a call in progress there.
    constexpr Duration timeoutMargin = std::chrono::milliseconds(700);

    bool isSlow(const AdmissionPolicy& policy) { return policy.perCall > slowCall; }

    Duration serviceTime(const AdmissionPolicy& policy, std::size_t workers)
    {
        return policy.perCall + policy.perWorker * static_cast<Duration::rep>(workers);
    }

} // namespace

AdmissionDesk::AdmissionDesk(Runtime& runtime, AdmissionPort& port)
    : m_runtime(runtime)
    , m_port(port)
{
}

std::size_t AdmissionDesk::maxSlow() const
{
    const std::size_t n = m_relays.size();
    return n <= 1 ? n : n - std::max<std::size_t>(1, n / quickPart);
}

void AdmissionDesk::addRelay(RelayId relay)
{
    m_relays[relay] = { .busy = false, .slow = false, .session = m_nextSession++, .idleSince = m_runtime.now() };
    if (m_onFree)
        m_onFree();
}

void AdmissionDesk::removeRelay(RelayId relay) { m_relays.erase(relay); }

void AdmissionDesk::clear()
{
    ++m_generation;
    for (auto& [id, relay] : m_relays)
        relay.busy = false;
}

std::size_t AdmissionDesk::inProgress() const
{
    return static_cast<std::size_t>(
        std::count_if(m_relays.begin(), m_relays.end(), [](const auto& it) { return it.second.busy; }));
}

// The relay that has been idle longest: its last call is certainly over at the service.
std::map<RelayId, AdmissionDesk::Relay>::const_iterator AdmissionDesk::idleRelay() const
{
    const auto it = std::min_element(m_relays.begin(), m_relays.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.busy, a.second.idleSince) < std::pair(b.second.busy, b.second.idleSince);
    });
    return it == m_relays.end() || it->second.busy ? m_relays.end() : it;
}

bool AdmissionDesk::isFree(const AdmissionPolicy& policy) const
{
    if (idleRelay() == m_relays.end())
        return false;
    const auto slow = static_cast<std::size_t>(std::count_if(
        m_relays.begin(), m_relays.end(), [](const auto& it) { return it.second.busy && it.second.slow; }));
    return !isSlow(policy) || slow < maxSlow();
}

void AdmissionDesk::ask(AdmissionQuestion question, const AdmissionPolicy& policy, Answered answered)
{
    const RelayId id = idleRelay()->first;
    Relay& relay = m_relays[id];
    relay.busy = true;
    relay.slow = isSlow(policy);
    const Duration timeout = serviceTime(policy, question.workers.size()) + timeoutMargin;
    m_port.ask(id, question, timeout,
        [this, id, session = relay.session, generation = m_generation, answered = std::move(answered)](
            const absl::StatusOr<std::vector<AdmissionGrant>>& grants) {
            if (generation != m_generation)
                return;
            const auto it = m_relays.find(id);
            if (it != m_relays.end() && it->second.session == session) {
                it->second.busy = false;
                it->second.idleSince = m_runtime.now();
            }
            answered(grants);
            if (m_onFree)
                m_onFree();
        });
}

} // namespace lycheeledge::jobs
