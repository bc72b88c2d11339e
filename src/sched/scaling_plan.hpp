// How many machines of which zone and kind are wanted. Pure.
#pragma once

#include <string>
#include <vector>

namespace elmstall::sched {

/// What one pool (type x zone x kind) has, in machines.
struct Pool {
  std::string type;
  std::string zone;
  bool spot = false;
  double price = 0;
  int alive = 0;    ///< up and usable
  int booting = 0;  ///< rented, not up yet

  bool blocked = false;  ///< no capacity lately, or the cloud does not answer
};

/// Demand of one machine type, in machines' worth.
struct Demand {
  double ordinary = 0;  ///< work that must not run on spot machines
  double flexible = 0;  ///< work that may
  double headroom = 0;  ///< ordinary room kept free for starts
};

struct ScaleOut {
  std::size_t pool = 0;
  int count = 0;
};

/// Machines to rent now. Pools are those of one type.
[[nodiscard]] std::vector<ScaleOut> plan_scale_out(const std::vector<Pool>& pools,
                                                   const Demand& demand);

/// Machines that could be returned of ordinary and spot kind.
struct Surplus {
  int ordinary = 0;
  int spot = 0;
};
[[nodiscard]] Surplus surplus(const std::vector<Pool>& pools, const Demand& demand);

}  // namespace elmstall::sched
