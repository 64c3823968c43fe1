// Binary encoding of job records and of messages between members, using cereal.
#pragma once

#include "../jobs/JobRecord.h"
#include "../jobs/MemberMessages.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace lycheeledge {

class CerealRecordCodec final : public jobs::RecordCodec {
public:
    std::string encode(const jobs::SubmissionRecord& record) const override;
    std::string encode(const jobs::ProgressRecord& record) const override;
    std::string encode(const jobs::WorkerSetRecord& record) const override;
    std::string encodeCapacities(const jobs::WorkerSetRecord& record) const override;
    absl::StatusOr<jobs::SubmissionRecord> decodeSubmission(std::string_view buf) const override;
    absl::StatusOr<jobs::ProgressRecord> decodeProgress(std::string_view buf) const override;
    absl::StatusOr<jobs::WorkerSetRecord> decodeWorkerSet(std::string_view buf) const override;
    absl::Status decodeCapacities(std::string_view buf, jobs::WorkerSetRecord& record) const override;
};

std::string encodeMemberMessage(const jobs::MemberMessage& message);
/** @brief Inverse of encodeMemberMessage(). Errors: `INVALID_ARGUMENT` for malformed input. */
absl::StatusOr<jobs::MemberMessage> decodeMemberMessage(std::string_view buf);

} // namespace lycheeledge
