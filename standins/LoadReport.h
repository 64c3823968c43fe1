// Summary of a load run.
#pragma once

#include "LoadHistory.h"
#include "LoadRun.h"

#include <fmt/format.h>

#include <array>
#include <cmath>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeledge::standin {

/** @brief Counts of one kind of work, or of all kinds. */
struct LoadCounts {
    std::size_t submitted = 0;
    std::map<LoadOutcome, std::size_t> outcomes;
    std::size_t retried = 0; ///< submissions with more than one attempt
    std::size_t doubled = 0; ///< non-repeatable submissions of which a task was started more than once
    std::size_t falseNotRun = 0; ///< submissions reported as not run of which a task was started
    std::vector<double> waitingMs; ///< time from the first attempt to the first start, sorted

    std::size_t count(LoadOutcome outcome) const
    {
        const auto it = outcomes.find(outcome);
        return it == outcomes.end() ? 0 : it->second;
    }

    /** @param quantile from 0 to 1. @return 0 without samples. */
    double waitingQuantile(double quantile) const
    {
        if (waitingMs.empty())
            return 0;
        const auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(waitingMs.size())));
        return waitingMs[std::clamp<std::size_t>(rank, 1, waitingMs.size()) - 1];
    }
};

/** @brief Summary of a run as a table or as JSON. */
class LoadReport {
public:
    /** @param hasHistory whether `history` holds the runs of all workers. */
    LoadReport(const std::vector<LoadRecord>& records, const LoadHistory& history, bool hasHistory)
        : m_hasHistory(hasHistory)
        , m_startsPerSecond(history.startsPerSecond())
        , m_starts(history.starts())
        , m_overlapping(history.overlapping())
    {
        for (const auto& record : records) {
            add(m_byKind[record.planned.spec.kind], record, history);
            add(m_total, record, history);
            if (record.outcome != LoadOutcome::Answered && !record.message.empty())
                ++m_messages[fmt::format("{}: {}", outcomeName(record.outcome), record.message)];
        }
        for (auto& [kind, counts] : m_byKind)
            std::sort(counts.waitingMs.begin(), counts.waitingMs.end());
        std::sort(m_total.waitingMs.begin(), m_total.waitingMs.end());
    }

    /** @brief Whether no work was lost, doubled, wrong, overlapping, or falsely reported as not run. */
    bool ok() const
    {
        return m_total.count(LoadOutcome::Lost) == 0 && m_total.count(LoadOutcome::Wrong) == 0 && m_total.doubled == 0
            && m_total.falseNotRun == 0 && m_overlapping.empty();
    }

    std::string table() const
    {
        std::string text = fmt::format("{:<9}{:>10}{:>10}{:>10}{:>8}{:>9}{:>12}{:>6}{:>7}{:>9}{:>9}{:>10}{:>10}\n",
            "kind", "submitted", "answered", "not run", "failed", "unknown", "unfinished", "lost", "wrong", "retried",
            "doubled", "p50 ms", "p99 ms");
        for (const auto& [kind, counts] : m_byKind)
            text += tableRow(toString(kind), counts);
        text += tableRow("all", m_total);
        if (m_hasHistory)
            text += fmt::format("starts: {}, {:.1f} per second; overlapping tasks: {}; false 'not run': {}\n", m_starts,
                m_startsPerSecond, m_overlapping.size(), m_total.falseNotRun);
        else
            text += "worker histories not available: doubled and overlapping runs were not checked, waiting times not "
                    "measured\n";
        for (const auto& id : m_overlapping)
            text
                += fmt::format("overlapping: {}/{} task {}\n", id.work.team.value(), id.work.request.value(), id.index);
        for (const auto& [message, count] : m_messages)
            text += fmt::format("{} x {}\n", count, message);
        return text + (ok() ? "ok\n" : "FAILED\n");
    }

    std::string json() const
    {
        lycheeledge::detail::JsonBuilder builder;
        builder.begin().field("ok", ok()).field("historyChecked", m_hasHistory).field("starts", m_starts);
        builder.field("startsPerSecond", m_startsPerSecond)
            .field("overlapping", m_overlapping.size())
            .key("kinds")
            .begin();
        for (const auto& [kind, counts] : m_byKind)
            writeCounts(builder.key(toString(kind)), counts);
        builder.end().key("all");
        writeCounts(builder, m_total);
        builder.key("messages").begin();
        for (const auto& [message, count] : m_messages)
            builder.field(message, count);
        return builder.end().end().text() + "\n";
    }

private:
    static std::string_view outcomeName(LoadOutcome outcome)
    {
        static constexpr std::array<std::string_view, 8> names { "open", "answered", "notRun", "failed", "unknown",
            "unfinished", "lost", "wrong" };
        return names.at(static_cast<std::size_t>(outcome));
    }

    static void add(LoadCounts& counts, const LoadRecord& record, const LoadHistory& history)
    {
        ++counts.submitted;
        ++counts.outcomes[record.outcome];
        counts.retried += record.attempts > 1 ? 1 : 0;
        const auto& spec = record.planned.spec;
        const auto first = history.firstStartUs(spec.id);
        counts.doubled += !spec.repeatable && history.startedMoreThanOnce(spec.id) ? 1 : 0;
        counts.falseNotRun += record.outcome == LoadOutcome::RefusedNotRun && first ? 1 : 0;
        if (!first)
            return;
        const auto submittedUs
            = std::chrono::duration_cast<std::chrono::microseconds>(record.submitted.time_since_epoch()).count();
        counts.waitingMs.push_back(static_cast<double>(*first - submittedUs) / 1000.0);
    }

    static std::string tableRow(std::string_view name, const LoadCounts& counts)
    {
        return fmt::format("{:<9}{:>10}{:>10}{:>10}{:>8}{:>9}{:>12}{:>6}{:>7}{:>9}{:>9}{:>10.1f}{:>10.1f}\n", name,
            counts.submitted, counts.count(LoadOutcome::Answered), counts.count(LoadOutcome::RefusedNotRun),
            counts.count(LoadOutcome::Failed), counts.count(LoadOutcome::Unknown),
            counts.count(LoadOutcome::Unfinished), counts.count(LoadOutcome::Lost), counts.count(LoadOutcome::Wrong),
            counts.retried, counts.doubled, counts.waitingQuantile(0.5), counts.waitingQuantile(0.99));
    }

    static void writeCounts(lycheeledge::detail::JsonBuilder& builder, const LoadCounts& counts)
    {
        builder.begin().field("submitted", counts.submitted).field("retried", counts.retried);
        for (const auto outcome : { LoadOutcome::Answered, LoadOutcome::RefusedNotRun, LoadOutcome::Failed,
                 LoadOutcome::Unknown, LoadOutcome::Unfinished, LoadOutcome::Lost, LoadOutcome::Wrong })
            builder.field(outcomeName(outcome), counts.count(outcome));
        builder.field("doubled", counts.doubled)
            .field("falseNotRun", counts.falseNotRun)
            .field("waitingP50Ms", counts.waitingQuantile(0.5))
            .field("waitingP99Ms", counts.waitingQuantile(0.99))
            .end();
    }

    bool m_hasHistory;
    double m_startsPerSecond;
    std::size_t m_starts;
    std::vector<TaskId> m_overlapping;
    std::map<WorkKind, LoadCounts> m_byKind;
    LoadCounts m_total;
    std::map<std::string, std::size_t> m_messages;
};

} // namespace lycheeledge::standin
