/// \file
/// Simulated worker in virtual time, as the protocol describes it.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "clients/worker_rpc.hpp"
#include "net/http_server.hpp"
#include "sched/resources.hpp"
#include "support/command_copies.hpp"

namespace elmstall::test {

class World;

/// The worker on one machine. It sends heartbeats to a node, executes commands, runs tasks for a
/// random time, and ends all of them when its lease expires. Its faults are public members.
class FakeWorker {
 public:
  /// Picks a random node to send heartbeats to; `start` begins.
  FakeWorker(World& world, std::string id, std::string type, std::string zone, bool spot);
  /// The machine has booted: sends the first heartbeat.
  void start();
  /// The machine is lost with all its tasks.
  void die();
  [[nodiscard]] bool dead() const { return dead_; }
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const std::string& type() const { return type_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  [[nodiscard]] bool spot() const { return spot_; }
  /// Executes a command RPC on arrival.
  clients::CommandResult on_command_rpc(std::uint64_t token, std::uint64_t epoch,
                                        const std::vector<wire::WorkerCommand>& commands);
  /// Executes a late copy of an RPC that was answered before. Nobody waits for its reply. Whatever
  /// it starts, or changes in a task that began after the original, breaks a rule.
  void on_command_copy(const AnsweredCommands& original);
  /// Serial number of the last task that it started.
  [[nodiscard]] std::uint64_t last_serial() const { return serial_; }
  /// Stops the machine and its tasks for so many seconds.
  void hang(double seconds);
  [[nodiscard]] bool hung() const;
  // Called by `FakeGangs`, which sets the states of all tasks of a gang.
  using TaskName = std::pair<std::string, std::uint32_t>;
  /// From now on the task, which waited for the others, is in this state.
  void set_gang_task_state(const TaskName& name, std::uint64_t serial, wire::TaskState state);
  /// `saved`: the task has saved its checkpoint.
  void end_gang_task(const TaskName& name, std::uint64_t serial, wire::EndCause cause, bool saved);
  /// Number of heartbeats that it has sent on its own.
  [[nodiscard]] std::size_t heartbeats_sent() const { return heartbeats_sent_; }
  /// Number of command RPCs that it has received, without copies.
  [[nodiscard]] std::size_t command_rpcs() const { return command_rpcs_; }
  /// Number of starts that it has refused for lack of room.
  [[nodiscard]] std::size_t refused_starts() const { return refused_starts_; }
  /// It has sent a heartbeat.
  [[nodiscard]] bool has_sent_heartbeat() const { return sequence_ > 0; }
  /// The resources of its tasks that wait for their image.
  [[nodiscard]] sched::Amount fetching() const;
  /// When the machine resumes, in virtual time.
  [[nodiscard]] double hung_until() const { return hung_until_; }
  bool cut = false;  ///< no message passes in either direction
  bool responses_dropped =
      false;  ///< its heartbeats arrive, but no response and no command reaches it
  bool heartbeats_dropped = false;  ///< its heartbeats reach no node, but command RPCs reach it
  double duplicate_share = 0;       ///< share of its heartbeats of which a copy comes late
  double duplicate_delay_s = 0;     ///< seconds; 0: somewhere between 2 and 42
  double clock_rate = 1;            ///< how fast its steady clock runs
  std::optional<double> interruption_at;  ///< announced end of a spot machine
  double task_failure_share = 0;          ///< share of its tasks that fail

 private:
  struct Task {
    std::uint64_t attempt = 0;
    wire::TaskState state = wire::TaskState::fetching;
    wire::EndCause cause = wire::EndCause::none;
    bool saved = false;
    std::uint64_t serial = 0;
  };
  using Name = TaskName;

  [[nodiscard]] wire::WorkerHeartbeat make_heartbeat();
  void send_heartbeat();
  void on_response(std::uint64_t sequence, double sent, std::size_t node,
                   const net::Response& response);
  void execute(const wire::WorkerCommand& command);
  void execute_all(const std::vector<wire::WorkerCommand>& commands);
  /// Reports to the rules what the copy of a command is about to change.
  void check_copy(const wire::WorkerCommand& command, std::uint64_t last_serial);
  void stop(const Name& name, Task& task, double grace_period_s);
  [[nodiscard]] bool in_gang(const Name& name) const;
  void run(const Name& name, std::uint64_t attempt);
  void start_task(const Name& name, std::uint64_t serial);
  void finish(const Name& name, std::uint64_t serial, bool fails);
  void end(const Name& name, wire::EndCause cause, bool saved);
  void check_lease();
  void expire();
  /// True while the machine hangs; `fn` then runs when it resumes.
  bool defer_while_hung(std::function<void()> fn);
  void drop_all_tasks();
  void send_heartbeat_soon();
  void on_token_raised();
  void schedule_heartbeat(double delay);

  World& world_;
  std::string id_, type_, zone_;
  bool spot_ = false;
  bool dead_ = false;
  std::uint64_t epoch_ = 1, sequence_ = 0, token_ = 0, serial_ = 0, heartbeat_timer_id_ = 0;
  std::uint64_t last_sent_sequence_ = 0, sent_epoch_ = 0;  ///< of the heartbeat in flight
  double lease_start_ = 0;
  double hung_until_ = -1;
  double last_heartbeat_ = -10;
  double token_counted_at_ = -1e9;  ///< when a higher token last counted as a change
  std::size_t heartbeats_sent_ = 0, command_rpcs_ = 0, refused_starts_ = 0;
  bool in_flight_ = false;
  bool cleared_ = false;  ///< the message that is being executed has cleared an attempt
  std::size_t node_ = 0;
  std::map<Name, Task> tasks_;
};

}  // namespace elmstall::test
