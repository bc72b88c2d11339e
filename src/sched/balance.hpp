/// @file
/// The load balancing algorithm of the paper that the design builds on (Tang et al., equation (1);
/// see docs/design.md). Pure: no clock, no randomness, no I/O.
///
/// The symbols of the paper, as they are used here:
///  - z_i is the anticipated wait of worker i: the seconds until the tasks that are queued there or
///    in transit to it have been completed.
///  - sat(x) is x for positive x and 0 otherwise.
///  - p_ij is the share of its excess that worker j sends to worker i. Equation (1) sets it to
///    sat(mean - z_i) divided by the sum of sat(mean - z_k) over all workers k other than j, where
///    mean is the mean of z over all workers.
#pragma once

#include <cstddef>
#include <vector>

namespace elmstall::sched {

/// The load of one worker: input of the balancing algorithm.
struct WorkerLoad {
  double anticipated_wait_s = 0;  ///< z, in seconds
  double wait_per_task_s = 1;     ///< seconds by which one more task raises z
  bool has_room = true;           ///< whether the worker may receive tasks
};

/// The paper's sat(): x for positive x, and 0 otherwise.
[[nodiscard]] inline double positive_part(double x) { return x > 0 ? x : 0; }

/// The mean of z over all workers; 0 without workers.
[[nodiscard]] double mean_wait(const std::vector<WorkerLoad>& workers);

/// The shares p_ij of equation (1) for the worker with index j = `sender`, by index i of the
/// receiver. Workers without room count as if they were not below the mean. The shares add up to
/// 1, or all are 0 when no worker can receive.
[[nodiscard]] std::vector<double> excess_shares(const std::vector<WorkerLoad>& workers,
                                                std::size_t sender, double mean);

/// A number of tasks that move from one worker to another.
struct Transfer {
  std::size_t from = 0;   ///< index of the sender
  std::size_t to = 0;     ///< index of the receiver
  std::size_t tasks = 0;  ///< how many tasks move
};

/// One round of balancing: every worker whose z exceeds the mean by more than `threshold_tasks`
/// tasks sends its excess over the mean to others, in shares by equation (1) and in whole tasks.
///
/// Tasks count at their receiver at once (the paper's anticipated load), so that senders later in
/// the same round do not send tasks for the same shortfall.
[[nodiscard]] std::vector<Transfer> balance_round(std::vector<WorkerLoad> workers,
                                                  double threshold_tasks);

}  // namespace elmstall::sched
