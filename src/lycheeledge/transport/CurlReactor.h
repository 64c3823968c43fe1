// epoll event loop for a curl multi handle.
#pragma once

#include <curl/curl.h>

#include <atomic>
#include <chrono>
#include <optional>

namespace lycheeledge {

/**
 * @brief Runs a curl multi handle on epoll.
 *
 * curl_multi_poll() and curl_multi_perform() iterate over all transfers on each call, so a thousand idle long polls
 * slow down all other calls. With curl's socket interface, the cost of an iteration depends only on the ready sockets.
 */
class CurlReactor {
public:
    CurlReactor();
    ~CurlReactor();
    CurlReactor(const CurlReactor&) = delete;
    CurlReactor& operator=(const CurlReactor&) = delete;

    CURLM* multi() const { return m_multi; }

    /** @brief Waits until a socket is ready, a timer expires or wakeUp() is called, and lets curl process the event. */
    void runOnce();
    /** @brief Interrupts the current wait of runOnce(), or else the next one. May be called from any thread. */
    void wakeUp();

private:
    static int socketCallback(CURL* easy, curl_socket_t socket, int pollAction, void* self, void* socketData);
    static int timerCallback(CURLM* multi, long timeoutMs, void* self);
    int waitTimeoutMs() const;
    void handleTimer();

    CURLM* m_multi;
    int m_epollFd;
    int m_wakeUpEventFd;
    std::atomic<bool> m_wakeUpPending { false }; // whether m_wakeUpEventFd is signalled
    std::optional<std::chrono::steady_clock::time_point> m_timerDeadline; // when curl's timer expires
};

} // namespace lycheeledge
