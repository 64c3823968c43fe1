// epoll event loop for a curl multi handle.

#include "CurlReactor.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace lycheeledge {

namespace {

    // Upper bound of the delay that a lost wake-up would cause.
    constexpr int maxWaitMs = 1000;

    std::uint32_t toEpollEvents(int pollAction)
    {
        std::uint32_t events = 0;
        if (pollAction & CURL_POLL_IN)
            events |= EPOLLIN;
        if (pollAction & CURL_POLL_OUT)
            events |= EPOLLOUT;
        return events;
    }

    int toCurlEvents(std::uint32_t events)
    {
        int result = 0;
        if (events & EPOLLIN)
            result |= CURL_CSELECT_IN;
        if (events & EPOLLOUT)
            result |= CURL_CSELECT_OUT;
        if (events & (EPOLLERR | EPOLLHUP))
            result |= CURL_CSELECT_ERR;
        return result;
    }

} // namespace

CurlReactor::CurlReactor()
    : m_multi(curl_multi_init())
    , m_epollFd(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeUpEventFd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    CHECK(m_multi != nullptr) << "[http] curl_multi_init failed.";
    PCHECK(m_epollFd >= 0 && m_wakeUpEventFd >= 0) << "[http] Cannot create the client's event queue";
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.fd = m_wakeUpEventFd;
    PCHECK(epoll_ctl(m_epollFd, EPOLL_CTL_ADD, m_wakeUpEventFd, &event) == 0) << "[http] epoll_ctl failed";
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &CurlReactor::socketCallback);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &CurlReactor::timerCallback);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
}

CurlReactor::~CurlReactor()
{
    curl_multi_cleanup(m_multi);
    close(m_epollFd);
    close(m_wakeUpEventFd);
}

int CurlReactor::socketCallback(CURL* /*easy*/, curl_socket_t socket, int pollAction, void* self, void* socketData)
{
    auto& reactor = *static_cast<CurlReactor*>(self);
    if (pollAction == CURL_POLL_REMOVE) {
        epoll_ctl(reactor.m_epollFd, EPOLL_CTL_DEL, socket, nullptr);
        curl_multi_assign(reactor.m_multi, socket, nullptr);
        return 0;
    }
    epoll_event event {};
    event.events = toEpollEvents(pollAction);
    event.data.fd = socket;
    const int operation = socketData == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    if (epoll_ctl(reactor.m_epollFd, operation, socket, &event) != 0) {
        PLOG(ERROR) << "[http] epoll_ctl failed";
        return -1;
    }
    // Non-null socket data marks the socket as registered with epoll.
    curl_multi_assign(reactor.m_multi, socket, &reactor);
    return 0;
}

int CurlReactor::timerCallback(CURLM* /*multi*/, long timeoutMs, void* self)
{
    auto& deadline = static_cast<CurlReactor*>(self)->m_timerDeadline;
    if (timeoutMs < 0)
        deadline.reset();
    else
        deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    return 0;
}

int CurlReactor::waitTimeoutMs() const
{
    if (!m_timerDeadline)
        return maxWaitMs;
    const auto remaining
        = std::chrono::ceil<std::chrono::milliseconds>(*m_timerDeadline - std::chrono::steady_clock::now());
    return static_cast<int>(std::clamp<std::int64_t>(remaining.count(), 0, maxWaitMs));
}

void CurlReactor::runOnce()
{
    // Starts new transfers, for which curl sets a timer with a timeout of 0.
    handleTimer();
    std::array<epoll_event, 256> events {};
    const int readyCount = epoll_wait(m_epollFd, events.data(), static_cast<int>(events.size()), waitTimeoutMs());
    PCHECK(readyCount >= 0 || errno == EINTR) << "[http] epoll_wait failed";
    int running = 0;
    for (int i = 0; i < readyCount; ++i) {
        const epoll_event& event = events[static_cast<std::size_t>(i)];
        if (event.data.fd != m_wakeUpEventFd) {
            curl_multi_socket_action(m_multi, event.data.fd, toCurlEvents(event.events), &running);
            continue;
        }
        eventfd_t count = 0;
        eventfd_read(m_wakeUpEventFd, &count);
        m_wakeUpPending = false;
    }
    handleTimer();
}

void CurlReactor::handleTimer()
{
    if (!m_timerDeadline || *m_timerDeadline > std::chrono::steady_clock::now())
        return;
    m_timerDeadline.reset();
    int running = 0;
    curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

void CurlReactor::wakeUp()
{
    if (!m_wakeUpPending.exchange(true))
        eventfd_write(m_wakeUpEventFd, 1);
}

} // namespace lycheeledge
