// Workers' interface: heartbeats and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"

namespace elmstall::wire {

/// `gathering`: waits for the other tasks of its gang. `other`: a state that
/// this program does not know.
enum class TaskState : std::uint8_t { fetching, gathering, running, checkpointing, ended, other };
/// `mates_gone`: another task of the gang is gone. `incomplete`: the gang was
/// not complete in time.
enum class EndCause : std::uint8_t {
  none,
  done,
  stopped,
  error,
  no_room,
  in_use,
  unknown,
  mates_gone,
  incomplete,
  other
};

/// One task as a worker reports it.
struct TaskStatus {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  EndCause cause = EndCause::none;
  bool saved = false;
};

/// What a worker reports of itself and its tasks.
struct WorkerHeartbeat {
  std::string machine;
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::uint64_t token = 0;
  std::optional<double> interruption_in_s;
  std::vector<TaskStatus> tasks;
};
/// Throws DecodeError.
[[nodiscard]] WorkerHeartbeat decode_heartbeat(const Object& object);
[[nodiscard]] std::string encode_heartbeat(const WorkerHeartbeat& heartbeat);

/// `stop` ends a task, `clear` removes an exited one from the heartbeats.
enum class Verb : std::uint8_t { run, stop, clear };
/// One command to a worker.
struct WorkerCommand {
  Verb verb = Verb::run;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  double grace_period_s = 0;
};
/// The answer to a heartbeat.
[[nodiscard]] std::string encode_heartbeat_reply(std::uint64_t token,
                                                 const std::vector<WorkerCommand>& commands);
/// A command sent straight to a worker; void unless its epoch is this one.
[[nodiscard]] std::string encode_direct_commands(std::uint64_t token, std::uint64_t epoch,
                                                 const std::vector<WorkerCommand>& commands);
/// What a worker reads from the answer to its heartbeat.
struct CommandEnvelope {
  std::uint64_t token = 0;
  std::uint64_t epoch = 0;  ///< of direct commands
  std::vector<WorkerCommand> commands;
};
/// Throws DecodeError.
[[nodiscard]] CommandEnvelope decode_commands(const Object& object);
/// Sends a worker to another controller; empty: to whichever it tries next.
[[nodiscard]] std::string encode_redirect(std::string_view node);

/// The name that users and workers know a task by.
[[nodiscard]] std::string task_name(std::string_view job, std::uint32_t index);

}  // namespace elmstall::wire
