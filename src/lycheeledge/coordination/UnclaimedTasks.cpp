// Tasks reported by workers for work that has not been submitted to this owner.

#include "UnclaimedTasks.h"

#include <algorithm>

namespace lycheeledge {

UnclaimedWork& UnclaimedTasks::workFor(TimePoint now, const WorkId& id)
{
    m_byAge.emplace_back(now, id);
    UnclaimedWork& work = m_work[id];
    work.changedAt = now;
    return work;
}

void UnclaimedTasks::addRunning(TimePoint now, const TaskId& task, WorkerIndex worker)
{
    UnclaimedWork& work = workFor(now, task.work);
    const bool known = std::any_of(
        work.running.begin(), work.running.end(), [&](const auto& running) { return running.id == task; });
    if (!known)
        work.running.push_back({ task, worker });
}

void UnclaimedTasks::addFinished(TimePoint now, const FinishedTask& task, WorkerIndex worker)
{
    UnclaimedWork& work = workFor(now, task.id.work);
    std::erase_if(work.running, [&](const auto& running) { return running.id == task.id && running.worker == worker; });
    auto it = std::find_if(
        work.finished.begin(), work.finished.end(), [&](const auto& finished) { return finished.task.id == task.id; });
    if (it == work.finished.end())
        work.finished.push_back({ task, worker });
    else if (task.succeeded ? it->task.body.empty() : !it->task.succeeded)
        it->task = task; // reports omit the body of acknowledged outcomes
}

void UnclaimedTasks::addLost(TimePoint now, const TaskId& task)
{
    UnclaimedWork& work = workFor(now, task.work);
    std::erase_if(work.running, [&](const auto& running) { return running.id == task; });
    work.lost = true;
}

std::optional<UnclaimedWork> UnclaimedTasks::claim(const WorkId& id)
{
    const auto it = m_work.find(id);
    if (it == m_work.end())
        return std::nullopt;
    std::optional<UnclaimedWork> work(std::move(it->second));
    m_work.erase(it);
    return work;
}

void UnclaimedTasks::expire(TimePoint now)
{
    while (!m_byAge.empty() && m_byAge.front().first + m_retention <= now) {
        const auto it = m_work.find(m_byAge.front().second);
        if (it != m_work.end()) {
            if (!it->second.running.empty())
                m_byAge.emplace_back(now, m_byAge.front().second);
            else if (it->second.changedAt + m_retention <= now)
                m_work.erase(it);
        }
        m_byAge.pop_front();
    }
}

} // namespace lycheeledge
