/// @file
/// Fleet sizing: how many machines of which zone and kind to rent, and how many could be
/// released. Pure: no clock, no randomness, no I/O. All functions treat one machine type at a time.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace elmstall::sched {

/// The machines of one type, zone and kind (ordinary or spot).
struct Pool {
  std::string type;      ///< name of the machine type
  std::string zone;      ///< name of the zone
  bool spot = false;     ///< whether the machines may be interrupted
  double price = 0;      ///< of one machine, as the cloud states it
  int alive = 0;         ///< machines that are up and usable
  int booting = 0;       ///< machines that are rented, or requested, and not up yet
  bool blocked = false;  ///< the cloud had no capacity lately, so none is requested at present
};

/// Demand for one machine type, in machines.
struct Demand {
  double ordinary = 0;  ///< for tasks that must not run on spot machines
  double flexible = 0;  ///< for tasks that may run on either kind
  double headroom = 0;  ///< ordinary machines to keep free for tasks that must start at once
};

/// Machines to rent for one pool.
struct ScaleOut {
  std::size_t pool = 0;  ///< index of the pool
  int count = 0;         ///< number of machines
};

/// The machines to rent now, so that the pools meet the demand. Flexible demand is met by free
/// ordinary machines first, then by spot machines, and by further ordinary machines where no spot
/// machines are available.
[[nodiscard]] std::vector<ScaleOut> plan_scale_out(const std::vector<Pool>& pools,
                                                   const Demand& demand);

/// Numbers of machines, by kind, that the demand does not need.
struct Surplus {
  int ordinary = 0;  ///< number of ordinary machines
  int spot = 0;      ///< number of spot machines
};

/// The machines that could be released.
[[nodiscard]] Surplus surplus(const std::vector<Pool>& pools, const Demand& demand);

}  // namespace elmstall::sched
