#include "state/job.hpp"

#include <algorithm>

namespace elmstall::state {

bool Block::untouched() const {
  const bool never_recorded = record->version == 0 && !record->slot();
  return never_recorded && !tasks.empty() &&
         std::all_of(tasks.begin(), tasks.end(), [](const Task& task) { return task.untouched(); });
}

}  // namespace elmstall::state
