// Waits for the sockets and timers of a curl multi handle with epoll.

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

    // Bounds how late a lost wake-up is noticed.
    constexpr int maxWaitMs = 1000;

    std::uint32_t toEpoll(int what)
    {
        std::uint32_t events = 0;
        if (what & CURL_POLL_IN)
            events |= EPOLLIN;
        if (what & CURL_POLL_OUT)
            events |= EPOLLOUT;
        return events;
    }

    int toCurl(std::uint32_t events)
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
    , m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeUpEvent(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    CHECK(m_multi != nullptr) << "[http] curl_multi_init failed.";
    PCHECK(m_epoll >= 0 && m_wakeUpEvent >= 0) << "[http] Cannot create the client's event queue";
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.fd = m_wakeUpEvent;
    PCHECK(epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeUpEvent, &event) == 0) << "[http] epoll_ctl failed";
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &CurlReactor::socketChanged);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &CurlReactor::timerChanged);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
}

CurlReactor::~CurlReactor()
{
    curl_multi_cleanup(m_multi);
    close(m_epoll);
    close(m_wakeUpEvent);
}

int CurlReactor::socketChanged(CURL* /*easy*/, curl_socket_t socket, int what, void* self, void* known)
{
    auto& reactor = *static_cast<CurlReactor*>(self);
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(reactor.m_epoll, EPOLL_CTL_DEL, socket, nullptr);
        curl_multi_assign(reactor.m_multi, socket, nullptr);
        return 0;
    }
    epoll_event event {};
    event.events = toEpoll(what);
    event.data.fd = socket;
    const int operation = known == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    if (epoll_ctl(reactor.m_epoll, operation, socket, &event) != 0) {
        PLOG(ERROR) << "[http] epoll_ctl failed";
        return -1;
    }
    // Marks the socket as known to epoll.
    curl_multi_assign(reactor.m_multi, socket, &reactor);
    return 0;
}

int CurlReactor::timerChanged(CURLM* /*multi*/, long timeoutMs, void* self)
{
    auto& deadline = static_cast<CurlReactor*>(self)->m_deadline;
    if (timeoutMs < 0)
        deadline.reset();
    else
        deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    return 0;
}

int CurlReactor::waitMs() const
{
    if (!m_deadline)
        return maxWaitMs;
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(*m_deadline - std::chrono::steady_clock::now());
    return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, maxWaitMs));
}

void CurlReactor::runOnce()
{
    // Starts new transfers, for which curl sets a timer of 0.
    handleTimer();
    std::array<epoll_event, 256> events {};
    const int n = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), waitMs());
    PCHECK(n >= 0 || errno == EINTR) << "[http] epoll_wait failed";
    int running = 0;
    for (int i = 0; i < n; ++i) {
        const epoll_event& event = events[static_cast<std::size_t>(i)];
        if (event.data.fd != m_wakeUpEvent) {
            curl_multi_socket_action(m_multi, event.data.fd, toCurl(event.events), &running);
            continue;
        }
        eventfd_t count = 0;
        eventfd_read(m_wakeUpEvent, &count);
        m_awake = false;
    }
    handleTimer();
}

void CurlReactor::handleTimer()
{
    if (!m_deadline || *m_deadline > std::chrono::steady_clock::now())
        return;
    m_deadline.reset();
    int running = 0;
    curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

void CurlReactor::wakeUp()
{
    if (!m_awake.exchange(true))
        eventfd_write(m_wakeUpEvent, 1);
}

} // namespace lycheeledge
