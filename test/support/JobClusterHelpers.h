// Steps that several tests of the simulated job cluster share.
#pragma once

#include "JobCluster.h"

#include <algorithm>
#include <string>

namespace lycheeledge::test {

/** @brief Adds workers w0, w1, ... of 8 cores each on one rack, and waits until they are known. */
inline void addWorkers(JobCluster& cluster, int count)
{
    for (int i = 0; i < count; ++i)
        cluster.addWorker("w" + std::to_string(i), 8000);
    cluster.advance(std::chrono::seconds(2));
}

/** @brief Gives "account-1" another key, "key-2", in the place of "key-1". */
inline void withdrawKey(JobCluster& cluster)
{
    auto configuration = simpleConfiguration();
    configuration.version = 2;
    configuration.accounts[0].keys = { "key-2" };
    cluster.setConfiguration(configuration);
}

/** @brief Whether a member other than `gone` owns the jobs. */
inline bool hasOtherOwner(JobCluster& cluster, const std::string& gone)
{
    const auto names = cluster.memberNames();
    return std::any_of(names.begin(), names.end(),
        [&](const auto& name) { return name != gone && cluster.member(name).node.session().isActive(); });
}

} // namespace lycheeledge::test
