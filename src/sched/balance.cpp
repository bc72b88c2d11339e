#include "sched/balance.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace elmstall::sched {
namespace {

/// Quotients that are whole numbers in exact arithmetic may come out just below them.
constexpr double kRoundingSlack = 1e-9;

/// The largest whole number of tasks that is not above `tasks`.
double whole_tasks(double tasks) { return std::floor(tasks + kRoundingSlack); }

}  // namespace

double mean_wait(const std::vector<WorkerLoad>& workers) {
  if (workers.empty()) return 0;
  const double sum = std::accumulate(
      workers.begin(), workers.end(), 0.0,
      [](double total, const WorkerLoad& worker) { return total + worker.anticipated_wait_s; });
  return sum / static_cast<double>(workers.size());
}

std::vector<double> excess_shares(const std::vector<WorkerLoad>& workers, std::size_t sender,
                                  double mean) {
  std::vector<double> result(workers.size(), 0.0);
  double total_shortfall = 0;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    if (i == sender || !workers[i].has_room) continue;
    const double shortfall = positive_part(mean - workers[i].anticipated_wait_s);
    result[i] = shortfall;
    total_shortfall += shortfall;
  }
  if (total_shortfall <= 0) return result;
  for (auto& share : result) share /= total_shortfall;
  return result;
}

std::vector<Transfer> balance_round(std::vector<WorkerLoad> workers, double threshold_tasks) {
  std::vector<Transfer> transfers;
  const double mean = mean_wait(workers);
  for (std::size_t sender = 0; sender < workers.size(); ++sender) {
    const double wait_per_task_s = workers[sender].wait_per_task_s;
    if (wait_per_task_s <= 0 ||
        workers[sender].anticipated_wait_s <= mean + threshold_tasks * wait_per_task_s)
      continue;
    const double excess_tasks =
        whole_tasks((workers[sender].anticipated_wait_s - mean) / wait_per_task_s);
    const auto shares = excess_shares(workers, sender, mean);
    for (std::size_t receiver = 0; receiver < workers.size(); ++receiver) {
      const auto count = static_cast<std::size_t>(whole_tasks(shares[receiver] * excess_tasks));
      if (count == 0) continue;
      transfers.push_back({.from = sender, .to = receiver, .tasks = count});
      workers[receiver].anticipated_wait_s +=
          static_cast<double>(count) * workers[receiver].wait_per_task_s;
      workers[sender].anticipated_wait_s -= static_cast<double>(count) * wait_per_task_s;
    }
  }
  return transfers;
}

}  // namespace elmstall::sched
