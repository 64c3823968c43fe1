// Memory and connections of the clients of one listener, and the choice of the connections to close at capacity.

#include "ConnectionLedger.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lycheeledge {

namespace {

    // Connections are closed until this part of the memory is free, so that the search for them is not repeated for
    // each received packet.
    constexpr std::size_t freedPart = 8;
    // The same for the number of connections.
    constexpr std::size_t closedPart = 32;
    // Requests in progress cannot be closed, so half of the memory stays for requests that are being received.
    constexpr std::size_t inProgressPart = 2;
    // An ordinary body of the largest legal size arrives within this time.
    constexpr auto minRequestTime = std::chrono::seconds(1);
    // In bytes a second. A slower sender cannot complete the largest legal body within the time limit of 60 s.
    constexpr double minRequestRate = 4096;
    // A client that has just received a response may be about to send its next request.
    constexpr auto minIdleTime = std::chrono::seconds(5);

} // namespace

RefusalCounts& RefusalCounts::operator+=(const RefusalCounts& other)
{
    refusedConnections += other.refusedConnections;
    refusedRequests += other.refusedRequests;
    oversizeBodies += other.oversizeBodies;
    closedIncomplete += other.closedIncomplete;
    closedUnread += other.closedUnread;
    closedIdle += other.closedIdle;
    return *this;
}

std::uint64_t RefusalCounts::total() const
{
    return refusedConnections + refusedRequests + oversizeBodies + closedIncomplete + closedUnread + closedIdle;
}

bool ConnectionLedger::admit(Time now)
{
    if (m_open < m_limits.maxConnections)
        return true;
    const std::size_t wanted = std::max<std::size_t>(m_limits.maxConnections / closedPart, 1);
    std::size_t closed = 0;
    for (const Candidate& candidate : candidates(true, now)) {
        if (closed == wanted)
            break;
        close(*candidate.entry);
        ++closed;
    }
    if (closed == 0)
        ++m_refusedConnections;
    return closed != 0;
}

void ConnectionLedger::add(Id id, Time now, Close close)
{
    Entry entry;
    entry.since = now;
    entry.close = std::move(close);
    if (m_entries.emplace(id, std::move(entry)).second)
        ++m_open;
}

void ConnectionLedger::remove(Id id)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    setMemory(it->second, 0);
    if (!it->second.closing)
        --m_open;
    m_entries.erase(it);
}

bool ConnectionLedger::received(Id id, std::size_t bytes, std::size_t memory, Time now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return true;
    Entry& entry = it->second;
    if (entry.closing)
        return false;
    if (entry.received == 0) {
        entry.phase = Phase::Receiving;
        entry.since = now;
    }
    entry.received += bytes;
    setMemory(entry, entry.memory + memory);
    if (m_connectionBytes + m_inProgressBytes > m_limits.maxBytes)
        reduceMemory(now);
    return !entry.closing;
}

void ConnectionLedger::completed(Id id)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    it->second.phase = Phase::Handling;
    it->second.received = 0;
    setMemory(it->second, 0);
}

void ConnectionLedger::beginResponse(Id id, std::size_t memory, Time now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    it->second.phase = Phase::Responding;
    it->second.since = now;
    if (!it->second.closing)
        setMemory(it->second, memory);
    if (m_connectionBytes + m_inProgressBytes > m_limits.maxBytes)
        reduceMemory(now);
}

void ConnectionLedger::endResponse(Id id, Time now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    it->second.phase = Phase::Idle;
    it->second.since = now;
    setMemory(it->second, 0);
}

bool ConnectionLedger::beginRequest(std::size_t memory)
{
    if (m_inProgressBytes + memory > m_limits.maxBytes / inProgressPart) {
        ++m_refusedRequests;
        return false;
    }
    m_inProgressBytes += memory;
    return true;
}

RefusalCounts ConnectionLedger::counts() const
{
    return { .refusedConnections = m_refusedConnections,
        .refusedRequests = m_refusedRequests,
        .oversizeBodies = m_oversizeBodies,
        .closedIncomplete = m_closedIncomplete,
        .closedUnread = m_closedUnread,
        .closedIdle = m_closedIdle };
}

void ConnectionLedger::setMemory(Entry& entry, std::size_t memory)
{
    m_connectionBytes = m_connectionBytes - entry.memory + memory;
    entry.memory = memory;
}

// Connections that may be closed, the first one first. When memory is short, those with less than the average come
// last, since closing them would free little, and so do those that have just begun. When places are short, those that
// have just begun or that send at an ordinary rate come after slower ones, and idle ones come last.
std::vector<ConnectionLedger::Candidate> ConnectionLedger::candidates(bool withoutMemory, Time now)
{
    const std::size_t mean = m_open == 0 ? 0 : m_connectionBytes / m_open;
    std::vector<Candidate> result;
    for (auto& [id, entry] : m_entries) {
        const bool idle = entry.phase == Phase::Idle;
        if (entry.closing || entry.phase == Phase::Handling || (!withoutMemory && entry.memory == 0)
            || (idle && now - entry.since < minIdleTime))
            continue;
        const double seconds = std::max(std::chrono::duration<double>(now - entry.since).count(), 1e-6);
        const double bytesPerSecond = static_cast<double>(entry.received) / seconds;
        const bool isNew = now - entry.since < minRequestTime;
        result.push_back({ .entry = &entry,
            .idle = idle,
            .spared = isNew || (withoutMemory ? bytesPerSecond >= minRequestRate : entry.memory < mean),
            .bytesPerSecond = bytesPerSecond });
    }
    std::sort(result.begin(), result.end(), [](const Candidate& a, const Candidate& b) {
        return std::tie(a.idle, a.spared, a.entry->phase, a.bytesPerSecond, a.entry->since)
            < std::tie(b.idle, b.spared, b.entry->phase, b.bytesPerSecond, b.entry->since);
    });
    return result;
}

void ConnectionLedger::close(Entry& entry)
{
    switch (entry.phase) {
    case Phase::Receiving:
        ++m_closedIncomplete;
        break;
    case Phase::Responding:
        ++m_closedUnread;
        break;
    case Phase::Handling:
    case Phase::Idle:
        ++m_closedIdle;
        break;
    }
    entry.closing = true;
    --m_open;
    setMemory(entry, 0);
    entry.close();
}

void ConnectionLedger::reduceMemory(Time now)
{
    const std::size_t target = m_limits.maxBytes - m_limits.maxBytes / freedPart;
    for (const Candidate& candidate : candidates(false, now)) {
        if (m_connectionBytes + m_inProgressBytes <= target)
            break;
        close(*candidate.entry);
    }
}

} // namespace lycheeledge
