// JSON form of the overview of a cell.
#pragma once

#include "SchedulerOverview.h"

#include <string>

namespace lycheeledge {

/** @brief The overview as a JSON object. Durations are in milliseconds. */
std::string overviewJson(const CellId& cell, Epoch epoch, const SchedulerOverview& overview);

} // namespace lycheeledge
