/// @file
/// The workers' interface: heartbeats and commands. A worker is the program that runs the tasks of
/// a machine. All decode functions throw DecodeError.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"

namespace elmstall::wire {

/// State of a task on its machine.
enum class TaskState : std::uint8_t {
  fetching,       ///< the worker is fetching its image
  gathering,      ///< waits for the other tasks of its gang
  running,        ///< runs
  checkpointing,  ///< writes a checkpoint before it stops
  ended,          ///< has ended; reported until a `clear` command
  other           ///< a state unknown to this program
};

/// Why a task ended.
enum class EndCause : std::uint8_t {
  none,        ///< it has not ended
  done,        ///< it completed
  stopped,     ///< a command stopped it
  error,       ///< it failed
  no_room,     ///< refused: the machine has not enough free resources
  in_use,      ///< refused by the worker with the protocol's cause `in_use`
  unknown,     ///< refused by the worker with the protocol's cause `unknown`
  mates_gone,  ///< another task of its gang no longer exists
  incomplete,  ///< its gang was not complete in time
  other        ///< a cause unknown to this program
};

/// One task as a worker reports it.
struct TaskStatus {
  std::string job;                        ///< id of the job
  std::uint32_t index = 0;                ///< position within the job
  std::uint64_t attempt = 0;              ///< number of the attempt
  TaskState state = TaskState::fetching;  ///< progress of the attempt on the machine
  EndCause cause = EndCause::none;        ///< why the task ended, if it did
  bool saved = false;                     ///< it saved its progress before it ended
};

/// The periodic status message of a worker.
struct WorkerHeartbeat {
  std::string machine;         ///< id of the machine
  std::string addr;            ///< address at which the worker takes commands; empty: not stated
  std::string type;            ///< machine type
  std::string zone;            ///< zone in which the machine is
  bool spot = false;           ///< whether it is a spot machine
  std::uint64_t epoch = 0;     ///< worker session; a new one begins whenever the lease expires
  std::uint64_t sequence = 0;  ///< increases with every heartbeat of the epoch
  std::uint64_t token = 0;     ///< highest fencing token that the worker has seen; 0: none
  /// Seconds until the cloud reclaims a spot machine; nothing without an interruption notice.
  std::optional<double> interruption_in_s;
  std::vector<TaskStatus>
      tasks;  ///< all tasks on the machine, with ended ones until they are cleared
};
/// Reads a heartbeat.
[[nodiscard]] WorkerHeartbeat decode_heartbeat(const Object& object);
/// Writes a heartbeat, for forwarding it to the leader.
[[nodiscard]] std::string encode_heartbeat(const WorkerHeartbeat& heartbeat);

/// The action of a command.
enum class Verb : std::uint8_t {
  run,   ///< start the task
  stop,  ///< end the task
  clear  ///< omit the ended task from further heartbeats
};
/// The protocol's name of the action.
[[nodiscard]] std::string_view to_text(Verb verb);
/// One command to a worker.
struct WorkerCommand {
  Verb verb = Verb::run;      ///< action to take on the task
  std::string job;            ///< id of the job
  std::uint32_t index = 0;    ///< position of the task within the job
  std::uint64_t attempt = 0;  ///< the attempt to which the command applies
  double grace_period_s = 0;  ///< seconds to write a checkpoint, with `stop`
};
/// Writes the response to a heartbeat, which renews the worker's lease.
[[nodiscard]] std::string encode_heartbeat_reply(std::uint64_t token,
                                                 const std::vector<WorkerCommand>& commands);
/// Writes a command RPC. A worker whose epoch differs from `epoch` refuses it.
[[nodiscard]] std::string encode_direct_commands(std::uint64_t token, std::uint64_t epoch,
                                                 const std::vector<WorkerCommand>& commands);
/// Commands as a worker receives them, in a command RPC or in the response to a heartbeat.
struct CommandEnvelope {
  std::uint64_t token = 0;              ///< fencing token of the sender
  std::uint64_t epoch = 0;              ///< set in a command RPC; 0 in the response to a heartbeat
  std::vector<WorkerCommand> commands;  ///< in the order in which they were composed
};
/// Reads commands.
[[nodiscard]] CommandEnvelope decode_commands(const Object& object);
/// Writes a response that redirects a worker to the controller `node`; if the name is empty, the
/// worker chooses the next controller by itself.
[[nodiscard]] std::string encode_redirect(std::string_view node);

/// The name of a task in the protocol: job id, slash and position within the job.
[[nodiscard]] std::string task_name(std::string_view job, std::uint32_t index);

}  // namespace elmstall::wire
