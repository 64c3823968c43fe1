// Stand-in of the platform's metadata store (PROTOCOL, "The platform's metadata store").
#pragma once

#include "Http.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace standins {

class Store {
public:
    Store();

    bool open() { return m_server.listenOn("127.0.0.1"); }
    std::uint16_t port() const { return m_server.port(); }
    /** @brief Writes an item on behalf of the operator or an executor, which the store always serves. */
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /** @brief Whether the store turns away the machines of the system, by giving them no answer. */
    void setSilent(bool silent);
    /** @brief The text of the values of the last transaction, which names the machine that wrote it. */
    std::string lastTransaction();

private:
    struct Item {
        std::string value; ///< base64
        std::uint64_t rev = 0;
        std::uint64_t createdAt = 0;
        std::uint64_t lease = 0;
    };
    struct Event {
        std::string key;
        Item item;
        bool removed = false;
    };
    struct Lease {
        std::int64_t ttlMs = 0;
        std::int64_t endMs = 0;
    };

    std::optional<Response> handle(const Request& request);
    Response get(const Request& request);
    Response range(const Request& request);
    std::optional<Response> watch(const Request& request, std::unique_lock<std::mutex>& lock);
    Response commit(const Request& request);
    Response lease(const Request& request);
    void write(const std::string& key, const std::string& value, std::uint64_t lease, std::uint64_t rev);
    void erase(const std::string& key, std::uint64_t rev);
    void endLeases();

    Server m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_rev = 100;
    std::uint64_t m_nextLease = 77000;
    std::string m_lastTransaction;
    bool m_silent = false; ///< towards the machines of the system
};

std::string encodeBase64(const std::string& text);
std::string decodeBase64(const std::string& text);
/** @brief Milliseconds of the steady clock. */
std::int64_t steadyMs();
std::int64_t unixMs();

} // namespace standins
