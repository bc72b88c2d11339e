/// @file
/// Bound on the number of tasks that a leader keeps in memory. Accepted jobs may have far more
/// tasks than fit there, so a job's tasks are loaded block by block when they can be started
/// ("Memory" in docs/design.md). Used on the controller's event loop only.
#pragma once

#include <cstddef>
#include <cstdint>

namespace elmstall::state {

/// Counts the tasks in memory, and says whether more may be loaded. A reserve is kept for small
/// jobs: many large ones may have begun, and their blocks can't be unloaded then. Blocks all of
/// whose tasks are completed don't count: otherwise the budget could be used up by jobs that are
/// nearly done.
class TaskBudget {
 public:
  /// The limit follows from the memory that the process may use, in MB.
  explicit TaskBudget(double memory_mb);

  /// What a block with this number of unfinished tasks counts: these, and an allowance for itself.
  [[nodiscard]] static std::size_t cost_of_block(std::size_t tasks);
  /// Notes that so much was loaded.
  void add(std::size_t cost) { used_ += cost; }
  /// Notes that so much was unloaded.
  void remove(std::size_t cost) { used_ -= cost; }

  /// For what a block is to be loaded.
  enum class Use : std::uint8_t {
    small_job,  ///< a job of one block, which may use the reserve
    large_job   ///< a job of several blocks
  };
  /// Whether so much more may be loaded.
  [[nodiscard]] bool allows(std::size_t cost, Use use) const {
    return used_ + cost <= (use == Use::small_job ? limit_ : limit_ - reserve_);
  }
  /// What is loaded at present, in tasks.
  [[nodiscard]] std::size_t used() const { return used_; }
  /// The most that may be loaded, in tasks.
  [[nodiscard]] std::size_t limit() const { return limit_; }

 private:
  std::size_t limit_;
  std::size_t reserve_;  ///< part of the limit that is kept for small jobs
  std::size_t used_ = 0;
};

}  // namespace elmstall::state
