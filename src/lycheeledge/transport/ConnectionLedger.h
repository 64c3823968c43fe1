// Memory and connections of the clients of one listener, and the choice of the connections to close at capacity.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace lycheeledge {

struct ConnectionLimits {
    std::size_t maxBytes = 64 << 20; ///< memory of unfinished requests, requests in progress and unsent responses
    std::size_t maxConnections = 4096;

    bool operator==(const ConnectionLimits&) const = default;
};

/** @brief Numbers since the start of a listener. */
struct RefusalCounts {
    std::uint64_t refusedConnections = 0; ///< new connections closed at capacity
    std::uint64_t refusedRequests = 0; ///< answered with status 503 because too much work is in progress
    std::uint64_t oversizeBodies = 0; ///< answered with status 413
    std::uint64_t closedIncomplete = 0; ///< closed at capacity without a complete request
    std::uint64_t closedUnread = 0; ///< closed at capacity with an unread response
    std::uint64_t closedIdle = 0; ///< closed at capacity between two requests

    bool operator==(const RefusalCounts&) const = default;
    RefusalCounts& operator+=(const RefusalCounts& other);
    std::uint64_t total() const;
};

/**
 * @brief Accounts for the connections of one listener. No I/O and no clock of its own.
 *
 * At capacity, it closes the connections that make the least progress: first those without a complete request, by bytes
 * received over time, then those that do not read their response, then (only for new connections) those that have been
 * idle for some seconds. Connections whose request is in progress are never closed. Used on one thread, except
 * counts().
 */
class ConnectionLedger {
public:
    using Id = std::uint64_t;
    using Time = std::chrono::steady_clock::time_point;
    using Close = std::function<void()>; ///< must not call the ledger

    explicit ConnectionLedger(ConnectionLimits limits)
        : m_limits(limits)
    {
    }

    /** @brief Makes room for one more connection. @return false if there is none and it has to be refused. */
    bool admit(Time now);
    void add(Id id, Time now, Close close);
    void remove(Id id);

    /**
     * @brief Counts bytes of a request that is not complete yet.
     * @param memory largest memory that they occupy. @return false if the connection itself has to be closed.
     */
    bool received(Id id, std::size_t bytes, std::size_t memory, Time now);
    /** @brief The request is complete. Its memory is no longer counted here, see beginRequest(). */
    void completed(Id id);
    void beginResponse(Id id, std::size_t memory, Time now);
    void endResponse(Id id, Time now);

    /** @return false if the request has to be refused because too many others are in progress. */
    bool beginRequest(std::size_t memory);
    void endRequest(std::size_t memory) { m_inProgressBytes -= memory; }
    void countOversizeBody() { ++m_oversizeBodies; }

    std::size_t connections() const { return m_open; }
    std::size_t bytes() const { return m_connectionBytes + m_inProgressBytes; }
    /** @brief May be called from any thread. */
    RefusalCounts counts() const;

private:
    enum class Phase { Receiving, Handling, Responding, Idle };
    struct Entry {
        Phase phase = Phase::Receiving;
        Time since; ///< begin of the phase; of the first bytes of a request
        std::size_t received = 0; ///< bytes of the current request
        std::size_t memory = 0; ///< part of m_connectionBytes
        bool closing = false;
        Close close;
    };
    struct Candidate {
        Entry* entry = nullptr;
        bool idle = false; ///< between two requests; closed last
        bool spared = false; ///< new, of little memory or of an ordinary rate; closed after the others
        double bytesPerSecond = 0;
    };

    void setMemory(Entry& entry, std::size_t memory);
    std::vector<Candidate> candidates(bool withoutMemory, Time now);
    void close(Entry& entry);
    void reduceMemory(Time now);

    ConnectionLimits m_limits;
    std::unordered_map<Id, Entry> m_entries;
    std::size_t m_open = 0; ///< entries that are not closing
    std::size_t m_connectionBytes = 0;
    std::size_t m_inProgressBytes = 0;
    std::atomic<std::uint64_t> m_refusedConnections { 0 };
    std::atomic<std::uint64_t> m_refusedRequests { 0 };
    std::atomic<std::uint64_t> m_oversizeBodies { 0 };
    std::atomic<std::uint64_t> m_closedIncomplete { 0 };
    std::atomic<std::uint64_t> m_closedUnread { 0 };
    std::atomic<std::uint64_t> m_closedIdle { 0 };
};

} // namespace lycheeledge
