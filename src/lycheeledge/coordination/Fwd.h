// Forward declarations of the interfaces and components of the coordination layer.
#pragma once

namespace lycheeledge {

class CellScheduler;
class JobJournal;
class PeerLink;
class PeerListener;
class Placement;
class Runtime;
class Store;
class TeamOrder;
class VmDirectory;
class WorkerGateway;
class WorkerPool;
class WorkerPoolListener;
struct Gossip;
struct SchedulerOverview;
struct SchedulerSettings;
struct TeamRecord;
struct WorkItem;

} // namespace lycheeledge
