/// @file
/// Amounts of resources: what tasks need, what machines have, and what teams may use.
/// Pure: no clock, no randomness, no I/O.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <string>

#include "config/constants.hpp"
#include "config/settings.hpp"

namespace elmstall::sched {

/// An amount of each resource. Each resource is called a dimension below.
///
/// The number of tasks is a dimension too: tasks may need hardly anything, or nothing, of the
/// others, and how many of them one machine can run is limited all the same. Small tasks are
/// counted once more, so that they leave places for others.
struct Amount {
  double cpus = 0;         ///< processor cores
  double gpus = 0;         ///< graphics processors
  double memory_gb = 0;    ///< main memory, GB
  double tasks = 0;        ///< number of tasks of any size
  double small_tasks = 0;  ///< number of tasks that need hardly anything of the above

  /// Adds in each dimension.
  Amount& operator+=(const Amount& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    tasks += other.tasks;
    small_tasks += other.small_tasks;
    return *this;
  }
  /// Subtracts in each dimension; the result may be negative.
  Amount& operator-=(const Amount& other) { return *this += other * -1.0; }
  /// The sum in each dimension.
  friend Amount operator+(Amount a, const Amount& b) { return a += b; }
  /// The difference in each dimension, which may be negative.
  friend Amount operator-(Amount a, const Amount& b) { return a -= b; }
  /// Every dimension times the factor.
  friend Amount operator*(const Amount& a, double factor) {
    return {a.cpus * factor, a.gpus * factor, a.memory_gb * factor, a.tasks * factor,
            a.small_tasks * factor};
  }

  /// Tolerance of comparisons, since sums of decimal amounts are off in their last digits.
  static constexpr double kSlack = 1e-6;

  /// Whether this amount is at most `room` in every dimension.
  [[nodiscard]] bool fits(const Amount& room) const {
    return cpus <= room.cpus + kSlack && gpus <= room.gpus + kSlack &&
           memory_gb <= room.memory_gb + kSlack && tasks <= room.tasks + kSlack &&
           small_tasks <= room.small_tasks + kSlack;
  }

  /// The largest share of `whole` that this amount takes in any dimension; `kUnbounded` where
  /// `whole` has nothing of what this amount needs.
  [[nodiscard]] double share_of(const Amount& whole) const {
    const auto share = [](double part, double total) {
      if (part <= 0) return 0.0;
      return total <= 0 ? kUnbounded : part / total;
    };
    return std::max({share(cpus, whole.cpus), share(gpus, whole.gpus),
                     share(memory_gb, whole.memory_gb), share(tasks, whole.tasks),
                     share(small_tasks, whole.small_tasks)});
  }

  /// Stands for a share or a number of slots without a bound.
  static constexpr double kUnbounded = 1e9;
};

/// What one task takes of its machine.
[[nodiscard]] inline Amount need_of_task(double cpus, double gpus, double memory_gb) {
  const bool small = cpus < constants::kSmallTaskCpus && gpus < constants::kSmallTaskGpus &&
                     memory_gb < constants::kSmallTaskMemory;
  return {cpus, gpus, memory_gb, 1, small ? 1.0 : 0.0};
}

/// What an empty machine has for tasks.
[[nodiscard]] inline Amount capacity_of_machine(double cpus, double gpus, double memory_gb) {
  return {cpus, gpus, memory_gb, constants::kMaxTasksPerMachine,
          constants::kMaxSmallTasksPerMachine};
}

/// The smaller of both amounts in each dimension.
[[nodiscard]] inline Amount min_of_each(const Amount& a, const Amount& b) {
  return {std::min(a.cpus, b.cpus), std::min(a.gpus, b.gpus), std::min(a.memory_gb, b.memory_gb),
          std::min(a.tasks, b.tasks), std::min(a.small_tasks, b.small_tasks)};
}

/// How many tasks that need `need` each fit into `room`. `Amount::kUnbounded` at most.
[[nodiscard]] inline std::size_t slots_in(const Amount& room, const Amount& need) {
  double slots = Amount::kUnbounded;
  const auto bound_by = [&slots](double available, double per_task) {
    if (per_task > 0) slots = std::min(slots, std::floor((available + Amount::kSlack) / per_task));
  };
  bound_by(room.cpus, need.cpus);
  bound_by(room.gpus, need.gpus);
  bound_by(room.memory_gb, need.memory_gb);
  bound_by(room.tasks, need.tasks);
  bound_by(room.small_tasks, need.small_tasks);
  return static_cast<std::size_t>(std::max(0.0, slots));
}

/// Whether `used` is within the team's hard limit. A limit of 0 means that there is none.
[[nodiscard]] inline bool within_limit(const config::Team& team, const Amount& used) {
  return (team.cpus_max <= 0 || used.cpus <= team.cpus_max + Amount::kSlack) &&
         (team.gpus_max <= 0 || used.gpus <= team.gpus_max + Amount::kSlack);
}

/// How many of `max_tasks` tasks that need `need` each fit into the team's hard limit, in addition
/// to what the team uses already.
[[nodiscard]] inline double max_tasks_within_limit(const config::Team& team, const Amount& used,
                                                   const Amount& need, double max_tasks) {
  const auto bound_by = [&max_tasks](double limit, double taken, double per_task) {
    if (limit <= 0 || per_task <= 0) return;
    const double fitting = std::floor((limit - taken + Amount::kSlack) / per_task);
    max_tasks = std::min(max_tasks, std::max(0.0, fitting));
  };
  bound_by(team.cpus_max, used.cpus, need.cpus);
  bound_by(team.gpus_max, used.gpus, need.gpus);
  return max_tasks;
}

/// Whether the team has a guarantee and `used` is within it. A dimension with a guarantee of 0 is
/// not compared; a team without any guarantee is never within it.
[[nodiscard]] inline bool within_guarantee(const config::Team& team, const Amount& used) {
  if (team.cpus <= 0 && team.gpus <= 0) return false;
  return (team.cpus <= 0 || used.cpus <= team.cpus + Amount::kSlack) &&
         (team.gpus <= 0 || used.gpus <= team.gpus + Amount::kSlack);
}

/// Largest number of a spread job's tasks that may be in one zone: half of them, rounded up.
[[nodiscard]] inline std::size_t spread_limit(std::size_t tasks) { return (tasks + 1) / 2; }

}  // namespace elmstall::sched
