// Binary encoding of job records and of messages between members, using cereal.

#include "CerealRecordCodec.h"

#include "BinaryCodec.h"
#include "JobSerialization.h"

#include <cereal/types/map.hpp>

#include <map>

namespace lycheeledge {

namespace {

    using Capacities = std::map<std::string, Resources>; ///< by worker id

} // namespace

std::string CerealRecordCodec::encode(const jobs::SubmissionRecord& record) const
{
    return detail::encodeBinary(record);
}

std::string CerealRecordCodec::encode(const jobs::ProgressRecord& record) const { return detail::encodeBinary(record); }

std::string CerealRecordCodec::encode(const jobs::WorkerSetRecord& record) const
{
    return detail::encodeBinary(record);
}

std::string CerealRecordCodec::encodeCapacities(const jobs::WorkerSetRecord& record) const
{
    Capacities capacities;
    for (const auto& worker : record.workers)
        capacities[worker.id.value()] = worker.largestCapacity;
    return detail::encodeBinary(capacities);
}

absl::StatusOr<jobs::SubmissionRecord> CerealRecordCodec::decodeSubmission(std::string_view buf) const
{
    return detail::decodeBinary<jobs::SubmissionRecord>(buf);
}

absl::StatusOr<jobs::ProgressRecord> CerealRecordCodec::decodeProgress(std::string_view buf) const
{
    return detail::decodeBinary<jobs::ProgressRecord>(buf);
}

absl::StatusOr<jobs::WorkerSetRecord> CerealRecordCodec::decodeWorkerSet(std::string_view buf) const
{
    return detail::decodeBinary<jobs::WorkerSetRecord>(buf);
}

absl::Status CerealRecordCodec::decodeCapacities(std::string_view buf, jobs::WorkerSetRecord& record) const
{
    const auto capacities = detail::decodeBinary<Capacities>(buf);
    if (!capacities.ok())
        return capacities.status();
    for (auto& worker : record.workers) {
        const auto it = capacities->find(worker.id.value());
        if (it != capacities->end())
            worker.largestCapacity = it->second;
    }
    return absl::OkStatus();
}

std::string encodeMemberMessage(const jobs::MemberMessage& message) { return detail::encodeBinary(message); }

absl::StatusOr<jobs::MemberMessage> decodeMemberMessage(std::string_view buf)
{
    return detail::decodeBinary<jobs::MemberMessage>(buf);
}

} // namespace lycheeledge
