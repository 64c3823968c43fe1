// Cluster configuration set by the operators: queues and client accounts.

#include "ClusterConfiguration.h"

#include <algorithm>
#include <chrono>

namespace lycheeledge::jobs {

namespace {

    template <typename T, typename Predicate> const T* findIn(const std::vector<T>& items, Predicate predicate)
    {
        const auto it = std::find_if(items.begin(), items.end(), predicate);
        return it == items.end() ? nullptr : &*it;
    }

} // namespace

Duration objectiveOf(const JobSpec& spec, const QueuePolicy& queue)
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    const Milliseconds stretched = queue.objectiveFactor * Milliseconds(estimatedCriticalPath(spec));
    return std::chrono::duration_cast<Duration>(stretched) + queue.latencyObjective;
}

const QueuePolicy* ClusterConfiguration::queueOf(std::string_view host, std::string_view path) const
{
    const QueuePolicy* best = nullptr;
    for (const auto& queue : queues) {
        if (queue.host != host || !path.starts_with(queue.prefix))
            continue;
        if (best == nullptr || queue.prefix.size() > best->prefix.size())
            best = &queue;
    }
    return best;
}

const QueuePolicy* ClusterConfiguration::queueNamed(std::string_view name) const
{
    return findIn(queues, [name](const QueuePolicy& it) { return it.name == name; });
}

const ClientAccount* ClusterConfiguration::accountOfKey(std::string_view key) const
{
    if (key.empty())
        return nullptr;
    return findIn(accounts,
        [key](const ClientAccount& it) { return std::find(it.keys.begin(), it.keys.end(), key) != it.keys.end(); });
}

const ClientAccount* ClusterConfiguration::account(const AccountId& id) const
{
    return findIn(accounts, [&id](const ClientAccount& it) { return it.id == id; });
}

} // namespace lycheeledge::jobs
