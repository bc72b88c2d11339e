/// @file
/// One task of a job, as the leader knows it: where it stands, on which machine and under which
/// attempt. The phase changes by checked transitions only, and `Model` makes those that change the
/// task's machine, so that usage, zones and records always agree with it.
#pragma once

#include <cstdint>
#include <limits>
#include <set>

#include "sched/group.hpp"
#include "wire/workers.hpp"

namespace elmstall::state {

/// Stands for a moment before all others: something has not happened yet. Steady clock, seconds.
inline constexpr double kNever = -std::numeric_limits<double>::infinity();

struct Block;
struct Job;
struct Machine;

/// Where a task stands. From `assigned` to `stopping` it may be on its machine.
enum class TaskPhase : std::uint8_t {
  pending,     ///< on no machine
  planned,     ///< room is kept for it on a machine, nothing is recorded yet
  assigned,    ///< machine and attempt are recorded or about to be; no `run` was sent
  dispatched,  ///< `run` may have reached the machine, from this leader or a former one
  stopping,    ///< it is to be stopped on its machine
  done,        ///< completed
};

/// Whether a task may go from the one phase to the other.
[[nodiscard]] bool may_follow(TaskPhase from, TaskPhase to);
/// Name of the phase, for the log.
[[nodiscard]] const char* to_text(TaskPhase phase);

class Task {
 public:
  Task(Job& owner, Block& part, std::uint32_t index_in_job, sched::TaskId unique_id)
      : job(&owner), block(&part), index(index_in_job), id(unique_id) {}

  Job* const job;
  Block* const block;
  const std::uint32_t index;  ///< within the job
  const sched::TaskId id;     ///< unique in this leadership

  [[nodiscard]] TaskPhase phase() const { return phase_; }
  [[nodiscard]] bool is_pending() const { return phase_ == TaskPhase::pending; }
  [[nodiscard]] bool is_planned() const { return phase_ == TaskPhase::planned; }
  [[nodiscard]] bool is_stopping() const { return phase_ == TaskPhase::stopping; }
  [[nodiscard]] bool is_done() const { return phase_ == TaskPhase::done; }
  /// Machine and attempt are recorded or about to be: it counts as being there.
  [[nodiscard]] bool may_be_on_machine() const {
    return phase_ == TaskPhase::assigned || run_sent();
  }
  /// `run` may have reached the machine.
  [[nodiscard]] bool run_sent() const {
    return phase_ == TaskPhase::dispatched || phase_ == TaskPhase::stopping;
  }
  /// The machine it is planned for or may be on; null otherwise.
  [[nodiscard]] Machine* machine() const { return machine_; }
  /// Distinguishes one start from another; 0 before the first. Never used twice.
  [[nodiscard]] std::uint64_t attempt() const { return attempt_; }
  /// Version of the block's record that must be written before `run` is sent (docs/design.md,
  /// rule 1).
  [[nodiscard]] std::uint64_t required_version() const { return required_version_; }

  /// `run` is sent to the machine, perhaps again.
  void mark_run_sent();
  /// The task is to be stopped. `grace_period_s`: seconds to write a checkpoint; 0 ends it at once.
  void begin_stop(double grace_period_s);
  /// A checkpoint that may be written while it stops is of no use any more.
  void withdraw_grace_period() { grace_period_s_ = 0; }
  [[nodiscard]] double grace_period_s() const { return grace_period_s_; }
  /// When a stop with a grace period was last sent.
  [[nodiscard]] double stop_sent_at() const { return stop_sent_at_; }
  /// A stop with a grace period is sent.
  void mark_stop_sent(double now) { stop_sent_at_ = now; }

  /// A new heartbeat of the machine is about to be read.
  void begin_heartbeat() { in_last_heartbeat_ = false; }
  /// The heartbeat lists the task under its present attempt.
  void mark_listed();
  /// The heartbeat says this of the task, which has not ended.
  void observe(wire::TaskState state, double now);
  [[nodiscard]] bool in_last_heartbeat() const { return in_last_heartbeat_; }
  /// What the worker last said of it; `fetching` until then.
  [[nodiscard]] wire::TaskState reported_state() const { return reported_state_; }
  /// When it was first seen to run under this attempt.
  [[nodiscard]] double running_since() const { return running_since_; }
  [[nodiscard]] bool has_run() const { return running_since_ != kNever; }

  /// It is not started again before this moment, or one that was set earlier and is later.
  void postpone(double until);
  /// It failed on its machine and is not started again before this moment.
  void mark_failed(double retry_at);
  [[nodiscard]] double not_before() const { return not_before_; }
  /// How often it has failed.
  [[nodiscard]] int failures() const { return failures_; }

  /// Whether it is in a queue of the groups.
  [[nodiscard]] bool queued() const { return queued_; }
  void set_queued(bool queued) { queued_ = queued; }

 private:
  friend class Model;

  /// Changes the phase. A change that may not be is logged as an error.
  void enter(TaskPhase to);
  /// Forgets what holds for one machine and attempt only.
  void leave_machine();

  TaskPhase phase_ = TaskPhase::pending;
  Machine* machine_ = nullptr;
  std::uint64_t attempt_ = 0;
  std::uint64_t required_version_ = 0;
  bool in_last_heartbeat_ = false;
  wire::TaskState reported_state_ = wire::TaskState::fetching;
  double running_since_ = kNever;
  double grace_period_s_ = 0;
  double stop_sent_at_ = kNever;
  double not_before_ = kNever;
  int failures_ = 0;
  bool queued_ = false;
};

/// Orders tasks by their numbers, never by address: two runs of one history must decide alike.
struct TaskOrder {
  bool operator()(const Task* a, const Task* b) const { return a->id < b->id; }
};
using TaskSet = std::set<Task*, TaskOrder>;

}  // namespace elmstall::state
