// The balancing law of the design, after Tang et al., equation (1).
// Pure: no clock, no randomness, no I/O.
#pragma once

#include <cstddef>
#include <vector>

namespace elmstall::sched {

/// One worker as the balancing law sees it.
struct WorkerLoad {
  double z = 0;          ///< seconds of anticipated wait
  double task_time = 1;  ///< seconds by which one task raises z
  bool room = true;      ///< may receive tasks
};

[[nodiscard]] inline double sat(double x) { return x > 0 ? x : 0; }

[[nodiscard]] double mean_wait(const std::vector<WorkerLoad>& workers);

/// Portions p_ij by which worker `sender` hands out its excess: each other
/// worker with room gets its shortfall below the mean over the sum of all
/// shortfalls. All zero when nobody is below the mean.
[[nodiscard]] std::vector<double> portions(const std::vector<WorkerLoad>& workers,
                                           std::size_t sender, double mean);

struct Transfer {
  std::size_t from = 0;
  std::size_t to = 0;
  std::size_t tasks = 0;
};

/// One round: every worker above mean plus threshold sends out its excess.
/// Anticipated load counts at the receiver at once, so that later senders of
/// the same round do not fill the same gap again.
[[nodiscard]] std::vector<Transfer> balance_round(std::vector<WorkerLoad> workers,
                                                  double threshold_tasks);

}  // namespace elmstall::sched
