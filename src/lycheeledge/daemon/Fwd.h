// Forward declarations of the daemon layer.
#pragma once

namespace lycheeledge {

class CallTelemetry;
class Counter;
class EventLoop;
class Gauge;
class HttpGateway;
class Metrics;
class RpcService;
class SpanExporter;
class Summary;
class Telemetry;
class TraceContextGenerator;
struct IntervalSettings;
struct LimitSettings;
struct ObservedCall;
struct RpcCall;
struct Settings;
struct Span;
struct SpanExporterSettings;
struct TraceContext;

} // namespace lycheeledge
