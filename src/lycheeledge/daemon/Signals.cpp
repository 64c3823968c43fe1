// Handles the signals of a daemon on a thread that waits for them with sigwait().

#include "Signals.h"

#include <pthread.h>
#include <thread>
#include <utility>

namespace lycheeledge {

sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

void handleSignals(sigset_t signals, std::function<void()> stop, std::function<void()> reload)
{
    std::thread([signals, stop = std::move(stop), reload = std::move(reload)] {
        for (int signal = 0; sigwait(&signals, &signal) == 0;) {
            if (signal == SIGHUP)
                reload();
            else
                stop();
        }
    }).detach();
}

} // namespace lycheeledge
