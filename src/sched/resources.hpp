// Amounts that tasks take of machines and of their team's limits.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

#include "config/settings.hpp"

namespace elmstall::sched {

struct Amount {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  Amount& operator+=(const Amount& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    return *this;
  }
  Amount& operator-=(const Amount& other) { return *this += other * -1.0; }
  friend Amount operator+(Amount a, const Amount& b) { return a += b; }
  friend Amount operator-(Amount a, const Amount& b) { return a -= b; }
  friend Amount operator*(const Amount& a, double factor) {
    return {a.cpus * factor, a.gpus * factor, a.memory_gb * factor};
  }

  /// Sums of decimal amounts are off in the last digits.
  static constexpr double kSlack = 1e-6;
  [[nodiscard]] bool fits(const Amount& room) const {
    return cpus <= room.cpus + kSlack && gpus <= room.gpus + kSlack &&
           memory_gb <= room.memory_gb + kSlack;
  }
  /// Largest share of `whole` that this takes in any dimension.
  [[nodiscard]] double share_of(const Amount& whole) const {
    const auto part = [](double a, double b) { return a <= 0 ? 0.0 : b <= 0 ? 1e9 : a / b; };
    return std::max(
        {part(cpus, whole.cpus), part(gpus, whole.gpus), part(memory_gb, whole.memory_gb)});
  }
};

/// The lesser of both in each dimension.
[[nodiscard]] inline Amount smaller(const Amount& a, const Amount& b) {
  return {std::min(a.cpus, b.cpus), std::min(a.gpus, b.gpus), std::min(a.memory_gb, b.memory_gb)};
}

/// How many such tasks fit into the room.
[[nodiscard]] inline std::size_t slots_in(const Amount& room, const Amount& need) {
  double most = 1e9;
  const auto part = [&most](double there, double each) {
    if (each > 0) most = std::min(most, std::floor((there + Amount::kSlack) / each));
  };
  part(room.cpus, need.cpus);
  part(room.gpus, need.gpus);
  part(room.memory_gb, need.memory_gb);
  return static_cast<std::size_t>(std::max(0.0, most));
}

/// True if `used` stays within the team's hard limit. 0 means no limit.
[[nodiscard]] inline bool within_limit(const config::Team& team, const Amount& used) {
  return (team.cpus_max <= 0 || used.cpus <= team.cpus_max + Amount::kSlack) &&
         (team.gpus_max <= 0 || used.gpus <= team.gpus_max + Amount::kSlack);
}

/// How many of `most` tasks fit into the team's limit beside `used`.
[[nodiscard]] inline double within_limit_count(const config::Team& team, const Amount& used,
                                               const Amount& need, double most) {
  const auto part = [&most](double limit, double taken, double each) {
    if (limit > 0 && each > 0)
      most = std::min(most, std::max(0.0, std::floor((limit - taken + Amount::kSlack) / each)));
  };
  part(team.cpus_max, used.cpus, need.cpus);
  part(team.gpus_max, used.gpus, need.gpus);
  return most;
}

/// True if the team has a guarantee and `used` lies within it. A guarantee of
/// 0 in one dimension means none there; with none at all nothing is guaranteed.
[[nodiscard]] inline bool within_guarantee(const config::Team& team, const Amount& used) {
  if (team.cpus <= 0 && team.gpus <= 0) return false;
  return (team.cpus <= 0 || used.cpus <= team.cpus + Amount::kSlack) &&
         (team.gpus <= 0 || used.gpus <= team.gpus + Amount::kSlack);
}

/// Largest number of tasks in one zone of a spread job.
[[nodiscard]] inline std::size_t spread_limit(std::size_t tasks) { return (tasks + 1) / 2; }

}  // namespace elmstall::sched
