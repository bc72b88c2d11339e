#include "state/task_budget.hpp"

#include "config/constants.hpp"

namespace elmstall::state {

namespace k = constants;

TaskBudget::TaskBudget(double memory_mb)
    : limit_(static_cast<std::size_t>(memory_mb * k::kBytesPerMb * k::kTaskMemoryShare /
                                      static_cast<double>(k::kTaskMemoryBytes))),
      reserve_(limit_ / k::kTaskReserveDivisor) {}

std::size_t TaskBudget::cost_of_block(std::size_t tasks) {
  return tasks + k::kBlockMemoryBytes / k::kTaskMemoryBytes;
}

}  // namespace elmstall::state
