#include "sched/balance.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace elmstall::sched {

double mean_wait(const std::vector<WorkerLoad>& workers) {
  if (workers.empty()) return 0;
  const double sum =
      std::accumulate(workers.begin(), workers.end(), 0.0,
                      [](double total, const WorkerLoad& worker) { return total + worker.z; });
  return sum / static_cast<double>(workers.size());
}

std::vector<double> portions(const std::vector<WorkerLoad>& workers, std::size_t sender,
                             double mean) {
  std::vector<double> shares(workers.size(), 0.0);
  double total = 0;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    if (i == sender || !workers[i].room) continue;
    shares[i] = sat(mean - workers[i].z);
    total += shares[i];
  }
  if (total <= 0) return shares;
  for (auto& share : shares) share /= total;
  return shares;
}

std::vector<Transfer> balance_round(std::vector<WorkerLoad> workers, double threshold_tasks) {
  std::vector<Transfer> transfers;
  const double mean = mean_wait(workers);
  for (std::size_t j = 0; j < workers.size(); ++j) {
    const double unit = workers[j].task_time;
    if (unit <= 0 || workers[j].z <= mean + threshold_tasks * unit) continue;
    const auto excess = std::floor((workers[j].z - mean) / unit + 1e-9);
    const auto shares = portions(workers, j, mean);
    for (std::size_t i = 0; i < workers.size(); ++i) {
      const auto count = static_cast<std::size_t>(std::floor(shares[i] * excess + 1e-9));
      if (count == 0) continue;
      transfers.push_back({j, i, count});
      workers[i].z += static_cast<double>(count) * workers[i].task_time;
      workers[j].z -= static_cast<double>(count) * unit;
    }
  }
  return transfers;
}

}  // namespace elmstall::sched
