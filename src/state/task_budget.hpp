/// @file
/// Bound on the number of tasks that a leader keeps in memory. Accepted jobs may have far more
/// tasks than fit there, so a job's tasks are loaded block by block when they can be started
/// ("Memory" in docs/design.md). Used on the controller's event loop only.
#pragma once

#include <cstddef>
#include <cstdint>

namespace elmstall::state {

/// Counts the tasks in memory, and says whether more may be loaded. A reserve is left for jobs that
/// have nothing in memory, so that small ones can start beside large ones.
class TaskBudget {
 public:
  /// The limit follows from the memory that the process may use, in MB.
  explicit TaskBudget(double memory_mb);

  /// What a block with this number of tasks counts: its tasks, and an allowance for the block.
  [[nodiscard]] static std::size_t cost_of_block(std::size_t tasks);
  /// Notes that so much was loaded.
  void add(std::size_t cost) { used_ += cost; }
  /// Notes that so much was unloaded.
  void remove(std::size_t cost) { used_ -= cost; }

  /// What is to be loaded for a job.
  enum class Use : std::uint8_t {
    first_block,  ///< the first block of a job, which may use the reserve
    more          ///< further blocks, or all of a gang at once
  };
  /// Whether so much more may be loaded.
  [[nodiscard]] bool allows(std::size_t cost, Use use) const {
    return used_ + cost <= (use == Use::first_block ? limit_ : limit_ - reserve_);
  }
  /// What is loaded at present, in tasks.
  [[nodiscard]] std::size_t used() const { return used_; }
  /// The most that may be loaded, in tasks.
  [[nodiscard]] std::size_t limit() const { return limit_; }

 private:
  std::size_t limit_;
  std::size_t reserve_;  ///< part of the limit for jobs of which nothing is loaded yet
  std::size_t used_ = 0;
};

}  // namespace elmstall::state
