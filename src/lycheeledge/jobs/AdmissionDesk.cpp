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

bool AdmissionDesk::isSlow(const Request& request) { return request.policy.perCall > slowCall; }

std::size_t AdmissionDesk::maxSlow() const
{
    const std::size_t n = m_relays.size();
    return n <= 1 ? n : n - std::max<std::size_t>(1, n / quickPart);
}

void AdmissionDesk::addRelay(RelayId relay)
{
    m_relays[relay] = { .busy = false, .slow = false, .session = m_nextSession++, .idleSince = m_runtime.now() };
    dispatch();
}

void AdmissionDesk::removeRelay(RelayId relay) { m_relays.erase(relay); }

void AdmissionDesk::request(Request request)
{
    m_waiting.emplace(OrderKey { request.priority, m_nextAge++ }, std::move(request));
    dispatch();
}

void AdmissionDesk::clear()
{
    m_waiting.clear();
    ++m_generation;
    for (auto& [id, relay] : m_relays)
        relay.busy = false;
}

std::optional<RelayId> AdmissionDesk::idleRelay() const
{
    // The relay that has been idle longest: its last call is certainly over at the service.
    const auto it = std::min_element(m_relays.begin(), m_relays.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.busy, a.second.idleSince) < std::pair(b.second.busy, b.second.idleSince);
    });
    if (it == m_relays.end() || it->second.busy)
        return std::nullopt;
    return it->first;
}

void AdmissionDesk::dispatch()
{
    auto slow = static_cast<std::size_t>(std::count_if(
        m_relays.begin(), m_relays.end(), [](const auto& it) { return it.second.busy && it.second.slow; }));
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const auto relay = idleRelay();
        if (!relay)
            return;
        if (isSlow(it->second) && slow >= maxSlow()) {
            ++it;
            continue;
        }
        Request request = std::move(it->second);
        it = m_waiting.erase(it);
        std::vector<WorkerId> workers = request.choose();
        if (workers.empty())
            continue;
        slow += isSlow(request) ? 1 : 0;
        send(*relay, std::move(request), std::move(workers));
    }
}

void AdmissionDesk::send(RelayId relay, Request request, std::vector<WorkerId> workers)
{
    Relay& state = m_relays[relay];
    state.busy = true;
    state.slow = isSlow(request);
    ++m_asked;
    const Duration timeout = serviceTime(request.policy, workers.size()) + timeoutMargin;
    AdmissionQuestion question { request.step, workers };
    m_port.ask(relay, question, timeout,
        [this, relay, session = state.session, generation = m_generation, workers = std::move(workers),
            done = std::move(request.done)](const absl::StatusOr<std::vector<AdmissionGrant>>& grants) {
            if (generation != m_generation)
                return;
            const auto it = m_relays.find(relay);
            if (it != m_relays.end() && it->second.session == session) {
                it->second.busy = false;
                it->second.idleSince = m_runtime.now();
            }
            done(workers, grants);
            dispatch();
        });
}

} // namespace lycheeledge::jobs
