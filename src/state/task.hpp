/// @file
/// One task of a job in the leader's model: its phase, its machine and its attempt number. The
/// phase changes by checked transitions only. Model makes all transitions that change the machine
/// of the task, so that usage, zones and records always agree with it. Used on the controller's
/// event loop only; times are seconds of its steady clock.
#pragma once

#include <cstdint>
#include <limits>
#include <set>

#include "sched/group.hpp"
#include "wire/workers.hpp"

namespace elmstall::state {

/// A time before all others, in seconds of the steady clock. It means that something has not
/// happened yet.
inline constexpr double kNever = -std::numeric_limits<double>::infinity();

struct Block;
struct Job;
struct Machine;

/// The phase of a task. From `assigned` to `stopping` it may be on its machine.
enum class TaskPhase : std::uint8_t {
  pending,     ///< on no machine
  planned,     ///< room is kept for it on a machine, nothing is recorded yet
  assigned,    ///< machine and attempt are recorded or about to be; no `run` was sent
  dispatched,  ///< `run` may have reached the machine, from this leader or a former one
  stopping,    ///< it is to be stopped on its machine
  done,        ///< completed
};

/// Whether a task may change from the one phase to the other.
[[nodiscard]] bool is_valid_transition(TaskPhase from, TaskPhase to);
/// The name of the phase, for log lines.
[[nodiscard]] const char* to_text(TaskPhase phase);

/// A task of a block that is in memory. It is destroyed once all tasks of its block are completed,
/// or when a block that was never used is unloaded.
class Task {
 public:
  /// Creates a pending task that was never started. `unique_id` must be unique in this leadership.
  Task(Job& owner, Block& part, std::uint32_t index_in_job, sched::TaskId unique_id)
      : job(&owner), block(&part), index(index_in_job), id(unique_id) {}

  Job* const job;             ///< the job of the task
  Block* const block;         ///< the block that contains the task
  const std::uint32_t index;  ///< index of the task within the job
  const sched::TaskId id;     ///< unique in this leadership

  /// The present phase.
  [[nodiscard]] TaskPhase phase() const { return phase_; }
  /// Whether the task is on no machine and none is planned for it.
  [[nodiscard]] bool is_pending() const { return phase_ == TaskPhase::pending; }
  /// Whether room is kept for the task and nothing is recorded yet.
  [[nodiscard]] bool is_planned() const { return phase_ == TaskPhase::planned; }
  /// Whether the task is to be stopped on its machine.
  [[nodiscard]] bool is_stopping() const { return phase_ == TaskPhase::stopping; }
  /// Whether the task is completed.
  [[nodiscard]] bool is_done() const { return phase_ == TaskPhase::done; }
  /// Whether an assignment to a machine is recorded or about to be. The task then counts as being
  /// on that machine (rule 7).
  [[nodiscard]] bool may_be_on_machine() const {
    return phase_ == TaskPhase::assigned || run_sent();
  }
  /// Whether `run` may have reached the machine.
  [[nodiscard]] bool run_sent() const {
    return phase_ == TaskPhase::dispatched || phase_ == TaskPhase::stopping;
  }
  /// The machine that the task is planned for or may be on, or null.
  [[nodiscard]] Machine* machine() const { return machine_; }
  /// Attempt number of the last start, 0 before the first. A number is never used twice (rule 1).
  [[nodiscard]] std::uint64_t attempt() const { return attempt_; }
  /// Whether the attempt was given to a machine before the present one, or to this one before: only
  /// a gang's task is replaced under the same number.
  [[nodiscard]] bool attempt_reused() const { return attempt_reused_; }
  /// Version of the block's commit record that must be written before `run` is sent (rule 1).
  [[nodiscard]] std::uint64_t required_version() const { return required_version_; }

  /// Notes that `run` is sent to the machine, for the first time or again.
  void mark_run_sent();
  /// Notes that the task is to be stopped. `grace_period_s` is the time in seconds that it has to
  /// save a checkpoint; 0 ends it at once.
  void begin_stop(double grace_period_s);
  /// Ends the grace period, because a checkpoint is of no use any more.
  void withdraw_grace_period() { grace_period_s_ = 0; }
  /// Seconds that the task has to save a checkpoint when it is stopped.
  [[nodiscard]] double grace_period_s() const { return grace_period_s_; }
  /// When a stop with a grace period was last sent; kNever if none was.
  [[nodiscard]] double stop_sent_at() const { return stop_sent_at_; }
  /// Notes that a stop with a grace period is sent.
  void mark_stop_sent(double now) { stop_sent_at_ = now; }

  /// Must be called for each task of a machine before a new heartbeat of the machine is read.
  void begin_heartbeat() { in_last_heartbeat_ = false; }
  /// Notes that the heartbeat lists the task under its present attempt.
  void mark_listed();
  /// Notes the state that the heartbeat gives for the task, which has not ended.
  void observe(wire::TaskState state, double now);
  /// Whether the last heartbeat of the machine lists the task under its present attempt.
  [[nodiscard]] bool in_last_heartbeat() const { return in_last_heartbeat_; }
  /// The state that the worker last reported for the task; `fetching` until it reports one.
  [[nodiscard]] wire::TaskState reported_state() const { return reported_state_; }
  /// When the task was first seen to run under this attempt; kNever if it was not.
  [[nodiscard]] double running_since() const { return running_since_; }
  /// Whether the task was seen to run under this attempt.
  [[nodiscard]] bool has_run() const { return running_since_ != kNever; }

  /// Notes that the task has completed under its present attempt, according to a heartbeat that may
  /// be of an earlier epoch of its machine. The result is kept, but the task may be there again.
  void mark_completion_reported() { completion_reported_ = true; }
  /// Whether the task is completed as soon as it is certain that it is not on its machine.
  [[nodiscard]] bool completion_reported() const { return completion_reported_; }

  /// Prevents a start of the task before this time. A later time that was set before remains in
  /// force.
  void postpone(double until);
  /// Notes that the task failed on its machine, and prevents a start before this time.
  void mark_failed(double retry_at);
  /// The task must not be started before this time.
  [[nodiscard]] double not_before() const { return not_before_; }
  /// How often the task has failed in this term.
  [[nodiscard]] int failures() const { return failures_; }

  /// Whether the task is as it was created: pending, never started, and free to start at any time.
  [[nodiscard]] bool untouched() const {
    return is_pending() && attempt_ == 0 && not_before_ == kNever && failures_ == 0;
  }

  /// Whether the task is in the queue of a sched::Group.
  [[nodiscard]] bool queued() const { return queued_; }
  /// Notes whether the task is in such a queue. Only placement::JobQueues calls this.
  void set_queued(bool queued) { queued_ = queued; }

 private:
  friend class Model;

  /// Changes the phase. A change that is_valid_transition() does not permit is made, but logged as
  /// an error.
  void enter(TaskPhase to);
  /// Resets what is true only for one machine and attempt.
  void leave_machine();

  // A leader may have tens of thousands of tasks: the small members share one word.
  TaskPhase phase_ = TaskPhase::pending;
  wire::TaskState reported_state_ = wire::TaskState::fetching;
  bool attempt_reused_ = false;
  bool in_last_heartbeat_ = false;
  bool completion_reported_ = false;
  bool queued_ = false;
  std::uint16_t failures_ = 0;
  Machine* machine_ = nullptr;
  std::uint64_t attempt_ = 0;
  std::uint64_t required_version_ = 0;
  double running_since_ = kNever;
  double grace_period_s_ = 0;
  double stop_sent_at_ = kNever;
  double not_before_ = kNever;
};

/// Orders tasks by their identifiers. They are never ordered by address, because two runs of the
/// same history must make the same decisions.
struct TaskOrder {
  /// Whether the first task's identifier is lower than the second's.
  bool operator()(const Task* a, const Task* b) const { return a->id < b->id; }
};
/// A set of tasks, ordered by their identifiers.
using TaskSet = std::set<Task*, TaskOrder>;

}  // namespace elmstall::state
