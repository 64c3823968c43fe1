// Predicts when a submitted job would end, from the load of its pool.

#include "ServicePrediction.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace lycheeledge::jobs {

namespace {

    // Work that expired within this multiple of a job's time of use shows that late work is not reached. With a factor
    // of 1, an overload of 20 s let a second wave of late jobs in, all of which failed.
    constexpr int evidenceFactor = 5;

    /** @brief Work that is done at a constant rate for at least `seconds`, or faster work that is delayed. */
    struct DrainingWork {
        double work = 0; ///< seconds for which it fills the capacity
        double seconds = 0; ///< shortest time in which it can be done; at least `work`
    };

    /** @brief Time after which some capacity is left although all of the work is done as early as possible. */
    double drainSeconds(std::vector<DrainingWork> entries)
    {
        // Absorbs rounding errors of sums of rates.
        constexpr double fullRate = 1 - 1e-9;
        std::erase_if(entries, [](const DrainingWork& it) { return it.work <= 0; });
        std::sort(entries.begin(), entries.end(), [](const auto& a, const auto& b) { return a.seconds < b.seconds; });
        double rate = 0;
        for (const auto& it : entries)
            rate += it.work / it.seconds;
        double done = 0; // by entries that end before the current one
        for (const auto& it : entries) {
            if (rate < fullRate && done <= it.seconds * (1 - rate))
                return done / (1 - rate);
            done += it.work;
            rate -= it.work / it.seconds;
        }
        return done;
    }

    /** @brief Work and admission calls of one account. */
    struct AccountWork {
        PoolWork work;
        double admissionSeconds = 0;
    };

    using AccountWorks = std::map<AccountId, AccountWork>;

    double limitedSeconds(const PoolWork& work, const AccountBounds& account, const Resources& capacity)
    {
        return std::max(work.secondsOn(capacity), work.secondsOn(account.upperLimit));
    }

    double seconds(Duration value) { return std::chrono::duration<double>(value).count(); }

    Duration duration(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

} // namespace

PredictedService ServicePrediction::of(const SubmittedWork& job) const
{
    // Earlier steps run beside the work ahead, since steps of one job leave the pool to others while they wait.
    const auto endAfter
        = [&job](Duration wait) { return std::max(job.criticalPath, wait + job.lastStep) + job.admission; };
    const Duration timely = duration(waitSeconds(job, false));
    if (m_now + endAfter(timely) <= job.waiting.objective)
        return { timely, endAfter(timely) };
    const Duration late = std::max(timely, duration(waitSeconds(job, true)));
    return { late, endAfter(late) };
}

double ServicePrediction::waitSeconds(const SubmittedWork& job, bool isLate) const
{
    const WaitingWork& own = job.waiting;
    const Duration useful = own.resultExpiry - m_now;
    AccountWorks higher;
    AccountWorks same;
    for (const auto& it : m_load.waiting) {
        const auto order = std::tuple(it.beyondRate, it.priority) <=> std::tuple(own.beyondRate, own.priority);
        if (order > 0)
            continue;
        bool goesFirst = order < 0;
        if (!goesFirst && it.isExpired(m_now)) {
            // It goes last, but was overtaken until its result had expired. So will a late step be, as long as this
            // lasts: work that has expired recently stands for the work that is going to arrive.
            goesFirst = isLate && m_now + it.remaining - it.resultExpiry <= evidenceFactor * useful;
        } else if (!goesFirst && it.isLate(m_now))
            goesFirst = isLate && it.remaining <= own.remaining;
        else if (!goesFirst)
            goesFirst = it.objective <= own.objective;
        if (!goesFirst)
            continue;
        AccountWork& account = (order < 0 ? higher : same)[it.account];
        account.work += it.work;
        account.admissionSeconds += seconds(it.admissionTime);
    }

    const auto boundsOf = [this](const AccountId& id) {
        const auto it = m_load.accounts.find(id);
        return it == m_load.accounts.end() ? AccountBounds {} : it->second;
    };
    const AccountBounds ownBounds = boundsOf(own.account);
    double weights = 0;
    for (const auto& [id, bounds] : m_load.accounts)
        weights += bounds.weight;
    const double fairShare = ownBounds.weight > 0 ? ownBounds.weight / weights : 1;

    AccountWorks all = higher;
    for (const auto& [id, it] : same) {
        all[id].work += it.work;
        all[id].admissionSeconds += it.admissionSeconds;
    }
    // Each resource on its own: work that fills the CPU and work that fills the memory do not delay each other.
    const auto drain = [&](const AccountWorks& works) {
        double longest = 0;
        for (const auto amount : { &Resources::milliCpu, &Resources::memoryMb, &Resources::accelerators }) {
            Resources capacity;
            capacity.*amount = m_load.capacity.*amount;
            std::vector<DrainingWork> entries;
            for (const auto& [id, it] : works)
                entries.push_back(
                    { it.work.secondsOn(capacity), limitedSeconds(it.work, boundsOf(id), m_load.capacity) });
            for (const auto& [magnitude, it] : m_load.running) {
                const double work = it.work.secondsOn(capacity);
                entries.push_back({ work, std::max(work, it.seconds) });
            }
            longest = std::max(longest, drainSeconds(std::move(entries)));
        }
        return longest;
    };
    double wait = 0;
    if (!m_load.hasRoomFor(job.largestReservation)) {
        wait = drain(all);
        const auto it = same.find(own.account);
        const double ownSeconds = it == same.end() ? 0 : it->second.work.secondsOn(m_load.capacity);
        AccountWorks higherAndOwn = higher;
        if (it != same.end())
            higherAndOwn[own.account].work += it->second.work;
        wait = std::min(wait, std::max(drain(higherAndOwn), drain(higher) + ownSeconds / fairShare));
    }
    if (const auto it = all.find(own.account); it != all.end())
        wait = std::max(wait, it->second.work.secondsOn(ownBounds.upperLimit));
    if (m_load.admissionRelays > 0 && job.admission > Duration::zero()) {
        double allCalls = 0;
        double higherCalls = 0;
        for (const auto& [id, it] : all)
            allCalls += it.admissionSeconds;
        for (const auto& [id, it] : higher)
            higherCalls += it.admissionSeconds;
        const auto it = same.find(own.account);
        const double ownCalls = it == same.end() ? 0 : it->second.admissionSeconds;
        wait = std::max(
            wait, std::min(allCalls, higherCalls + ownCalls / fairShare) / static_cast<double>(m_load.admissionRelays));
    }
    return wait;
}

} // namespace lycheeledge::jobs
