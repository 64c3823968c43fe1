// Forward declarations of the ports and components of the coordination layer.
#pragma once

namespace lycheeledge {

class JobJournal;
class PeerLink;
class PeerListener;
class Runtime;
class Store;
class VmDirectory;
class WorkerGateway;
class WorkerPool;
class WorkerPoolListener;
struct Gossip;

} // namespace lycheeledge
