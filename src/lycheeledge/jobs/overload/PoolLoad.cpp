// Work that a pool has accepted, and the capacity that serves it.

#include "PoolLoad.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // A full pool always has some free resources: those of tasks whose end is being handled, a few hundredths, and
    // remainders on each worker that are too small for a task.
    constexpr double roomShare = 0.25;

    bool hasShare(std::int64_t request, std::int64_t free, std::int64_t capacity)
    {
        return request == 0 || static_cast<double>(free) >= roomShare * static_cast<double>(capacity);
    }

} // namespace

PoolWork& PoolWork::operator+=(const PoolWork& other)
{
    milliCpuSeconds += other.milliCpuSeconds;
    memoryMbSeconds += other.memoryMbSeconds;
    acceleratorSeconds += other.acceleratorSeconds;
    return *this;
}

double PoolWork::secondsOn(const Resources& capacity) const
{
    const auto seconds
        = [](double work, std::int64_t amount) { return amount > 0 ? work / static_cast<double>(amount) : 0; };
    return std::max({ seconds(milliCpuSeconds, capacity.milliCpu), seconds(memoryMbSeconds, capacity.memoryMb),
        seconds(acceleratorSeconds, capacity.accelerators) });
}

PoolWork workOf(const Resources& reserved, Duration duration, double count)
{
    const double factor = std::chrono::duration<double>(duration).count() * count;
    return { .milliCpuSeconds = static_cast<double>(reserved.milliCpu) * factor,
        .memoryMbSeconds = static_cast<double>(reserved.memoryMb) * factor,
        .acceleratorSeconds = static_cast<double>(reserved.accelerators) * factor };
}

void PoolLoad::addRunning(const Resources& reserved, Duration left)
{
    const double seconds = std::chrono::duration<double>(left).count();
    if (seconds <= 0)
        return;
    RunningWork& similar = running[std::ilogb(seconds)];
    similar.work += workOf(reserved, left);
    similar.seconds = std::max(similar.seconds, seconds);
}

void PoolLoad::addWaiting(WaitingWork work, const AccountBounds& account)
{
    accounts.try_emplace(work.account, account);
    waiting.push_back(std::move(work));
}

bool PoolLoad::hasRoomFor(const Resources& request) const
{
    return request.fitsIn(largestFree) && hasShare(request.milliCpu, free.milliCpu, capacity.milliCpu)
        && hasShare(request.memoryMb, free.memoryMb, capacity.memoryMb)
        && hasShare(request.accelerators, free.accelerators, capacity.accelerators);
}

} // namespace lycheeledge::jobs
