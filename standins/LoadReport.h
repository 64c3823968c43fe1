// Figures of a load run.
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

/** @brief Counts of one kind of work, or of all. */
struct LoadCounts {
    std::size_t submitted = 0;
    std::map<LoadEnd, std::size_t> ends;
    std::size_t retried = 0; ///< submissions sent more than once
    std::size_t doubled = 0; ///< not repeatable, and a task was started more than once
    std::size_t falseNotRun = 0; ///< answered as not run, although a task was started
    std::vector<double> waitingMs; ///< from the first sending to the first start, sorted

    std::size_t count(LoadEnd end) const
    {
        const auto it = ends.find(end);
        return it == ends.end() ? 0 : it->second;
    }

    /** @param part from 0 to 1. @return 0 without samples. */
    double waitingQuantile(double part) const
    {
        if (waitingMs.empty())
            return 0;
        const auto rank = static_cast<std::size_t>(std::ceil(part * static_cast<double>(waitingMs.size())));
        return waitingMs[std::clamp<std::size_t>(rank, 1, waitingMs.size()) - 1];
    }
};

/** @brief Figures of a run. */
class LoadReport {
public:
    LoadReport(const std::vector<LoadRecord>& records, const LoadHistory& history, bool hasHistory)
        : m_hasHistory(hasHistory)
        , m_startsPerSecond(history.startsPerSecond())
        , m_starts(history.starts())
        , m_overlapping(history.overlapping())
    {
        for (const auto& record : records) {
            add(m_byKind[record.item.spec.kind], record, history);
            add(m_total, record, history);
            if (record.end != LoadEnd::Answered && !record.message.empty())
                ++m_messages[fmt::format("{}: {}", endName(record.end), record.message)];
        }
        for (auto& [kind, counts] : m_byKind)
            std::sort(counts.waitingMs.begin(), counts.waitingMs.end());
        std::sort(m_total.waitingMs.begin(), m_total.waitingMs.end());
    }

    /** @brief Whether nothing was lost, doubled, wrong or overlapping, and every "not run" was true. */
    bool ok() const
    {
        return m_total.count(LoadEnd::Lost) == 0 && m_total.count(LoadEnd::Wrong) == 0 && m_total.doubled == 0
            && m_total.falseNotRun == 0 && m_overlapping.empty();
    }

    std::string table() const
    {
        std::string text = fmt::format("{:<9}{:>10}{:>10}{:>10}{:>8}{:>9}{:>12}{:>6}{:>7}{:>9}{:>9}{:>10}{:>10}\n",
            "kind", "submitted", "answered", "not run", "failed", "unknown", "unfinished", "lost", "wrong", "retried",
            "doubled", "p50 ms", "p99 ms");
        for (const auto& [kind, counts] : m_byKind)
            text += line(toString(kind), counts);
        text += line("all", m_total);
        if (m_hasHistory)
            text += fmt::format("starts: {}, {:.1f} a second; overlapping tasks: {}; false 'not run': {}\n", m_starts,
                m_startsPerSecond, m_overlapping.size(), m_total.falseNotRun);
        else
            text += "no history of the workers: doubled, overlapping and waiting times were not checked\n";
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
            write(builder.key(toString(kind)), counts);
        builder.end().key("all");
        write(builder, m_total);
        builder.key("messages").begin();
        for (const auto& [message, count] : m_messages)
            builder.field(message, count);
        return builder.end().end().text() + "\n";
    }

private:
    static std::string_view endName(LoadEnd end)
    {
        static constexpr std::array<std::string_view, 8> names { "open", "answered", "notRun", "failed", "unknown",
            "unfinished", "lost", "wrong" };
        return names.at(static_cast<std::size_t>(end));
    }

    static void add(LoadCounts& counts, const LoadRecord& record, const LoadHistory& history)
    {
        ++counts.submitted;
        ++counts.ends[record.end];
        counts.retried += record.sendings > 1 ? 1 : 0;
        const auto& spec = record.item.spec;
        const auto first = history.firstStartUs(spec.id);
        counts.doubled += !spec.repeatable && history.startedTwice(spec.id) ? 1 : 0;
        counts.falseNotRun += record.end == LoadEnd::RefusedNotRun && first ? 1 : 0;
        if (!first)
            return;
        const auto submittedUs
            = std::chrono::duration_cast<std::chrono::microseconds>(record.submitted.time_since_epoch()).count();
        counts.waitingMs.push_back(static_cast<double>(*first - submittedUs) / 1000.0);
    }

    static std::string line(std::string_view name, const LoadCounts& counts)
    {
        return fmt::format("{:<9}{:>10}{:>10}{:>10}{:>8}{:>9}{:>12}{:>6}{:>7}{:>9}{:>9}{:>10.1f}{:>10.1f}\n", name,
            counts.submitted, counts.count(LoadEnd::Answered), counts.count(LoadEnd::RefusedNotRun),
            counts.count(LoadEnd::Failed), counts.count(LoadEnd::Unknown), counts.count(LoadEnd::Unfinished),
            counts.count(LoadEnd::Lost), counts.count(LoadEnd::Wrong), counts.retried, counts.doubled,
            counts.waitingQuantile(0.5), counts.waitingQuantile(0.99));
    }

    static void write(lycheeledge::detail::JsonBuilder& builder, const LoadCounts& counts)
    {
        builder.begin().field("submitted", counts.submitted).field("retried", counts.retried);
        for (const auto end : { LoadEnd::Answered, LoadEnd::RefusedNotRun, LoadEnd::Failed, LoadEnd::Unknown,
                 LoadEnd::Unfinished, LoadEnd::Lost, LoadEnd::Wrong })
            builder.field(endName(end), counts.count(end));
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
