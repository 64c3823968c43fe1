// Handles the signals of a daemon on a thread that waits for them with sigwait().
#pragma once

#include <csignal>
#include <functional>

namespace lycheeledge {

/** @brief Blocks SIGTERM, SIGINT and SIGHUP and ignores SIGPIPE. Must be called before the first thread is started. */
sigset_t blockSignals();

/**
 * @brief Starts a detached thread that calls `stop` on SIGTERM and SIGINT, and `reload` on SIGHUP.
 * @param signals the set that blockSignals() returned.
 */
void handleSignals(sigset_t signals, std::function<void()> stop, std::function<void()> reload);

} // namespace lycheeledge
