#include "state/job.hpp"

#include <algorithm>

namespace elmstall::state {

bool Block::untouched() const {
  const bool never_recorded = record->version == 0 && !record->slot();
  return never_recorded && !tasks.empty() &&
         std::all_of(tasks.begin(), tasks.end(), [](const Task& task) { return task.untouched(); });
}

std::vector<std::uint32_t> Job::untouched_blocks() const {
  std::vector<std::uint32_t> untouched;
  for (const auto& [number, block] : blocks) {
    if (block->untouched()) untouched.push_back(number);
  }
  return untouched;
}

}  // namespace elmstall::state
