#include "store/record_types.hpp"

#include <algorithm>

namespace elmstall::store {

std::size_t BlockRecord::done_count() const {
  return static_cast<std::size_t>(std::count(done.begin(), done.end(), true));
}

std::size_t BlockRecord::assigned_count() const {
  return static_cast<std::size_t>(std::count_if(
      tasks.begin(), tasks.end(), [](const auto& task) { return !task.machine.empty(); }));
}

}  // namespace elmstall::store
