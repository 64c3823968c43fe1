// List of the sequence numbers of the values in a journal.

#include "JournalIndex.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <vector>

namespace lycheeledge {

namespace {

    // More than the values of any real journal. Prevents a corrupt index from exhausting the memory.
    constexpr std::uint64_t maxSequences = 1'000'000;

} // namespace

std::string encodeJournalIndex(const std::set<std::uint64_t>& sequences)
{
    std::string text;
    for (auto it = sequences.begin(); it != sequences.end();) {
        const std::uint64_t first = *it;
        std::uint64_t last = first;
        for (++it; it != sequences.end() && *it == last + 1; ++it)
            last = *it;
        if (!text.empty())
            text += ',';
        absl::StrAppend(&text, absl::Hex(first));
        if (last != first)
            absl::StrAppend(&text, "-", absl::Hex(last));
    }
    return text;
}

absl::StatusOr<std::set<std::uint64_t>> decodeJournalIndex(std::string_view text)
{
    std::set<std::uint64_t> sequences;
    if (text.empty())
        return sequences;
    const std::vector<std::string> parts = absl::StrSplit(std::string(text), ',');
    for (const std::string& part : parts) {
        const std::vector<std::string> bounds = absl::StrSplit(part, '-');
        std::uint64_t first = 0;
        std::uint64_t last = 0;
        if (bounds.size() > 2 || !absl::SimpleHexAtoi(bounds.front(), &first)
            || !absl::SimpleHexAtoi(bounds.back(), &last) || last < first
            || last - first >= maxSequences - sequences.size())
            return absl::InvalidArgumentError(absl::StrCat("journal index has a malformed range: ", part));
        // Counts the values, since `last` may be the largest number.
        for (std::uint64_t i = 0; i <= last - first; ++i)
            sequences.insert(first + i);
    }
    return sequences;
}

} // namespace lycheeledge
