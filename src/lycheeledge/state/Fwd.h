// Forward declarations of the state types.
#pragma once

namespace lycheeledge {

struct Address;
struct Configuration;
struct FinishedTask;
struct Key;
struct KindPolicy;
struct LeaseReport;
struct LeaseRequest;
struct Queue;
struct Resources;
struct RunningTask;
struct StartCommand;
struct TaskId;
struct Team;
struct WorkId;
struct WorkResult;
struct WorkSpec;
struct WorkStatus;
struct WorkerDescription;
enum class CommandOutcome;
enum class ErrorKind;
enum class KeyRole;
enum class RunState;
enum class TaskAction;
enum class WorkKind;
enum class WorkPhase;

} // namespace lycheeledge
