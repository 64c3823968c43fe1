// Waits for the sockets and timers of a curl multi handle with epoll.
#pragma once

#include <curl/curl.h>

#include <atomic>
#include <chrono>
#include <optional>

namespace lycheeledge {

/**
 * @brief Drives a curl multi handle.
 *
 * curl_multi_poll() and curl_multi_perform() visit every transfer in each round, so that a thousand idle long polls
 * slow down all other calls. With the socket interface a round costs only what is ready.
 */
class CurlReactor {
public:
    CurlReactor();
    ~CurlReactor();
    CurlReactor(const CurlReactor&) = delete;
    CurlReactor& operator=(const CurlReactor&) = delete;

    CURLM* multi() const { return m_multi; }

    /** @brief Waits until something is ready, wakeUp() is called or a timer is due, and lets curl handle it. */
    void runOnce();
    /** @brief Ends the wait of runOnce(), or the next one. May be called from any thread. */
    void wakeUp();

private:
    static int socketChanged(CURL* easy, curl_socket_t socket, int what, void* self, void* known);
    static int timerChanged(CURLM* multi, long timeoutMs, void* self);
    int waitMs() const;
    void handleTimer();

    CURLM* m_multi;
    int m_epoll;
    int m_wakeUpEvent;
    std::atomic<bool> m_awake { false }; // whether m_wakeUpEvent is set
    std::optional<std::chrono::steady_clock::time_point> m_deadline; // when curl wants to be called
};

} // namespace lycheeledge
