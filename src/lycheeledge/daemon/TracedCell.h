// Records a trace span for the cell owner's handling of each submission.
#pragma once

#include "../coordination/RequestRouter.h"
#include "../coordination/Runtime.h"
#include "Tracing.h"

#include <functional>
#include <optional>
#include <string>

namespace lycheeledge {

/** @brief Decorator of a cell that records a span named `cell` from the receipt of a submission to its result. */
class TracedCell final : public LocalCell {
public:
    /** @brief The arguments must outlive this object and all submissions in progress. */
    TracedCell(LocalCell& cell, Runtime& runtime, TraceContextGenerator& contextGenerator, SpanExporter& exporter);

    bool isActive() const override { return m_cell.isActive(); }
    /** @brief Passes the context of the new span to the cell, so that the worker's span becomes its child. */
    void submit(WorkSpec spec, const std::string& traceparent, std::function<void(WorkResult)> done) override;
    void cancel(const WorkId& id, std::function<void(std::optional<WorkStatus>)> done) override;
    std::optional<WorkStatus> status(const WorkId& id) const override { return m_cell.status(id); }
    std::string overview() const override { return m_cell.overview(); }

private:
    LocalCell& m_cell;
    Runtime& m_runtime;
    TraceContextGenerator& m_contextGenerator;
    SpanExporter& m_exporter;
};

} // namespace lycheeledge
