// Forward declarations of the protocol layer.
#pragma once

namespace lycheeledge {

class ApiSchema;
class AsioPeerLink;
class BoundedInputArchive;
class CerealJournalCodec;
class CompletionExecutor;
class EtcdStore;
class HttpVmDirectory;
class HttpWorkerGateway;
class JsonFields;
class JsonSchema;
class ResultFetcher;
class SecureChannel;
class UnreadableResults;
struct TaskActionCommand;
struct ApiError;
struct ChangeHeader;
struct ChangeResult;
struct CommandResponse;
struct EtcdError;
struct EtcdStoreSettings;
struct PeerLinkSettings;
struct PresentedKey;
struct RpcErrorResponse;
struct RpcRequest;
struct RpcResponse;
struct SchemaViolation;
struct VmDirectorySettings;
struct WireEvents;
struct WireFinishedTask;
struct WireLeaseReport;
struct WorkerGatewaySettings;

} // namespace lycheeledge
