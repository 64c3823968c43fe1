// Records a trace span for the cell owner's handling of each submission.

#include "TracedCell.h"

#include <utility>

namespace lycheeledge {

TracedCell::TracedCell(
    LocalCell& cell, Runtime& runtime, TraceContextGenerator& contextGenerator, SpanExporter& exporter)
    : m_cell(cell)
    , m_runtime(runtime)
    , m_contextGenerator(contextGenerator)
    , m_exporter(exporter)
{
}

void TracedCell::submit(WorkSpec spec, const std::string& traceparent, std::function<void(WorkResult)> done)
{
    const auto parent = parseTraceparent(traceparent);
    Span span;
    span.context = m_contextGenerator.next(parent);
    span.parentSpanId = parent ? parent->spanId : std::string();
    span.name = "cell";
    span.start = m_runtime.now();
    span.attributes = { { "team", spec.id.team.value() }, { "request", spec.id.request.value() } };
    const std::string context = formatTraceparent(span.context);
    m_cell.submit(std::move(spec), context, [this, span, done = std::move(done)](WorkResult result) mutable {
        span.end = m_runtime.now();
        span.error = result.ok() ? std::string() : result.message;
        m_exporter.record(std::move(span));
        done(std::move(result));
    });
}

void TracedCell::cancel(const WorkId& id, std::function<void(std::optional<WorkStatus>)> done)
{
    m_cell.cancel(id, std::move(done));
}

} // namespace lycheeledge
