#include "state/task.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

#include "state/job.hpp"

namespace elmstall::state {

bool is_valid_transition(TaskPhase from, TaskPhase to) {
  switch (from) {
    case TaskPhase::pending:
      // `dispatched` follows for an assignment that a former leader recorded. `done` follows for a
      // task that the records show as completed, or that is completed with the rest of its gang.
      return to == TaskPhase::planned || to == TaskPhase::assigned || to == TaskPhase::dispatched ||
             to == TaskPhase::done;
    case TaskPhase::planned:
      return to == TaskPhase::pending;
    case TaskPhase::assigned:
      return to == TaskPhase::dispatched || to == TaskPhase::pending || to == TaskPhase::done;
    case TaskPhase::dispatched:
      return to == TaskPhase::stopping || to == TaskPhase::pending || to == TaskPhase::done;
    case TaskPhase::stopping:
      return to == TaskPhase::pending || to == TaskPhase::done;
    case TaskPhase::done:
      return false;
  }
  return false;
}

const char* to_text(TaskPhase phase) {
  switch (phase) {
    case TaskPhase::pending:
      return "pending";
    case TaskPhase::planned:
      return "planned";
    case TaskPhase::assigned:
      return "assigned";
    case TaskPhase::dispatched:
      return "dispatched";
    case TaskPhase::stopping:
      return "stopping";
    case TaskPhase::done:
      return "done";
  }
  return "invalid";
}

void Task::enter(TaskPhase to) {
  if (phase_ == to) return;
  if (!is_valid_transition(phase_, to)) {
    spdlog::error("task {}: {} does not follow {}", wire::task_name(job->id, index), to_text(to),
                  to_text(phase_));
  }
  phase_ = to;
}

void Task::leave_machine() {
  machine_ = nullptr;
  in_last_heartbeat_ = false;
  grace_period_s_ = 0;
  stop_sent_at_ = kNever;
  running_since_ = kNever;
}

void Task::mark_run_sent() {
  if (!is_stopping()) enter(TaskPhase::dispatched);
}

void Task::begin_stop(double grace_period_s) {
  enter(TaskPhase::stopping);
  grace_period_s_ = grace_period_s;
}

void Task::mark_listed() {
  in_last_heartbeat_ = true;
  mark_run_sent();  // a former leader may have sent it
}

void Task::observe(wire::TaskState state, double now) {
  if (state == wire::TaskState::running && !has_run()) running_since_ = now;
  reported_state_ = state;
}

void Task::postpone(double until) { not_before_ = std::max(not_before_, until); }

void Task::mark_failed(double retry_at) {
  if (failures_ < std::numeric_limits<std::uint16_t>::max()) ++failures_;
  not_before_ = retry_at;
}

}  // namespace elmstall::state
