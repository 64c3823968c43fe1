// JSON representation of a cell's scheduler overview.
#pragma once

#include "SchedulerOverview.h"

#include <string>

namespace lycheeledge {

/** @brief Writes the overview as a JSON object. Durations are in milliseconds. */
std::string overviewJson(const CellId& cell, Epoch epoch, const SchedulerOverview& overview);

} // namespace lycheeledge
