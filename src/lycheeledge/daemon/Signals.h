// Signals of a daemon, taken by a thread that waits for them.
#pragma once

#include <csignal>
#include <functional>

namespace lycheeledge {

/** @brief Blocks SIGTERM, SIGINT and SIGHUP and ignores SIGPIPE. Must come before the first thread starts. */
sigset_t blockSignals();

/**
 * @brief Starts a thread that calls `stop` for SIGTERM and SIGINT, and `reload` for SIGHUP.
 * @param signals what blockSignals() returned.
 */
void handleSignals(sigset_t signals, std::function<void()> stop, std::function<void()> reload);

} // namespace lycheeledge
