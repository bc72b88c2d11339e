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
  const double sum =
      std::accumulate(workers.begin(), workers.end(), 0.0,
                      [](double total, const WorkerLoad& worker) { return total + worker.z; });
  return sum / static_cast<double>(workers.size());
}

std::vector<double> portions(const std::vector<WorkerLoad>& workers, std::size_t sender,
                             double mean) {
  std::vector<double> result(workers.size(), 0.0);
  double total_shortfall = 0;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    if (i == sender || !workers[i].room) continue;
    const double shortfall = sat(mean - workers[i].z);
    result[i] = shortfall;
    total_shortfall += shortfall;
  }
  if (total_shortfall <= 0) return result;
  for (auto& portion : result) portion /= total_shortfall;
  return result;
}

std::vector<Transfer> balance_round(std::vector<WorkerLoad> workers, double threshold_tasks) {
  std::vector<Transfer> transfers;
  const double mean = mean_wait(workers);
  for (std::size_t j = 0; j < workers.size(); ++j) {
    const double task_time = workers[j].task_time;
    if (task_time <= 0 || workers[j].z <= mean + threshold_tasks * task_time) continue;
    const double excess_tasks = whole_tasks((workers[j].z - mean) / task_time);
    const auto portion = portions(workers, j, mean);
    for (std::size_t i = 0; i < workers.size(); ++i) {
      const auto count = static_cast<std::size_t>(whole_tasks(portion[i] * excess_tasks));
      if (count == 0) continue;
      transfers.push_back({.from = j, .to = i, .tasks = count});
      workers[i].z += static_cast<double>(count) * workers[i].task_time;
      workers[j].z -= static_cast<double>(count) * task_time;
    }
  }
  return transfers;
}

}  // namespace elmstall::sched
