/// @file
/// Divides the memory for waiting tasks among the jobs that wait in the queues. Usually every job
/// may have `constants::kWindowTasks` tasks there. When that would be too many for the task budget,
/// jobs that can start tasks at present come first, in the order of the queues: each gets one
/// block, and what is left goes to larger windows. The others keep nothing in memory until it is
/// their turn. Runs on the controller's event loop; times are seconds of its steady clock.
#pragma once

#include <cstddef>
#include <vector>

#include "placement/run_time_estimates.hpp"
#include "state/model.hpp"

namespace elmstall::placement {

/// Sets state::Job::window of all queued jobs.
class TaskWindows {
 public:
  /// All arguments have to outlive this object.
  TaskWindows(const config::Settings& settings, state::Model& model,
              const RunTimeEstimates& estimates)
      : settings_(settings), model_(model), estimates_(estimates) {}

  /// Divides the memory anew, once per `constants::kReorderInterval`. Returns the jobs whose
  /// windows have become smaller.
  [[nodiscard]] std::vector<state::Job*> update(double now);

 private:
  /// A queued job with waiting tasks, and how it compares with others.
  struct Waiting {
    state::Job* job = nullptr;
    bool startable = false;   ///< some machine may run its tasks, and its team's limit has room
    sched::QueuedTask order;  ///< position in the queues
    std::size_t window = 0;   ///< the window that it gets
    /// Whether this job gets its window before the other one.
    [[nodiscard]] bool before(const Waiting& other) const;
  };

  [[nodiscard]] std::vector<state::Job*> waiting_jobs() const;
  /// What the budget leaves for waiting tasks.
  [[nodiscard]] std::size_t capacity(std::size_t block_tasks) const;
  [[nodiscard]] std::vector<Waiting> ranked(const std::vector<state::Job*>& jobs, double now) const;
  /// Gives each job one block, and then the full window, while there is room for it.
  static void divide(std::vector<Waiting>& jobs, std::size_t block_tasks, std::size_t capacity);

  const config::Settings& settings_;
  state::Model& model_;
  const RunTimeEstimates& estimates_;
  double next_update_ = state::kNever;
};

}  // namespace elmstall::placement
