// Records a span for the part of the cell owner in each submission.
#pragma once

#include "../coordination/RequestRouter.h"
#include "../coordination/Runtime.h"
#include "Tracing.h"

#include <functional>
#include <optional>
#include <string>

namespace lycheeledge {

/** @brief Cell that records a span named `cell` from the receipt of a submission to its result. */
class TracedCell final : public LocalCell {
public:
    /** @brief All arguments must outlive this object and the submissions in progress. */
    TracedCell(LocalCell& cell, Runtime& runtime, TraceSource& source, SpanExporter& exporter);

    bool isActive() const override { return m_cell.isActive(); }
    /** @brief Passes the context of the new span on, so that the worker's span becomes its child. */
    void submit(WorkSpec spec, const std::string& traceparent, std::function<void(WorkResult)> done) override;
    void cancel(const WorkId& id, std::function<void(std::optional<WorkStatus>)> done) override;
    std::optional<WorkStatus> status(const WorkId& id) const override { return m_cell.status(id); }
    std::string overview() const override { return m_cell.overview(); }

private:
    LocalCell& m_cell;
    Runtime& m_runtime;
    TraceSource& m_source;
    SpanExporter& m_exporter;
};

} // namespace lycheeledge
