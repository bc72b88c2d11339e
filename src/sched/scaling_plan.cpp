#include "sched/scaling_plan.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace elmstall::sched {
namespace {

enum class Kind : std::uint8_t { ordinary, spot };

Kind kind_of(const Pool& pool) { return pool.spot ? Kind::spot : Kind::ordinary; }

/// Machines. Rounding errors in sums of demands must not add a machine.
constexpr double kRoundingSlack = 1e-6;

int whole_machines(double machines) {
  return static_cast<int>(std::ceil(machines - kRoundingSlack));
}

int total_machines(const std::vector<Pool>& pools, Kind kind) {
  int sum = 0;
  for (const auto& pool : pools) {
    if (kind_of(pool) == kind) sum += pool.alive + pool.booting;
  }
  return sum;
}

/// Adds `count` machines one by one to the smallest pool of the kind that is not blocked, in
/// `extra`, which has one number for each pool. Returns how many could not be added.
int distribute(const std::vector<Pool>& pools, Kind kind, int count, std::vector<int>& extra) {
  const auto size = [&](std::size_t pool) {
    return pools[pool].alive + pools[pool].booting + extra[pool];
  };
  const std::size_t none = pools.size();
  while (count > 0) {
    std::size_t smallest = none;
    for (std::size_t i = 0; i < pools.size(); ++i) {
      if (kind_of(pools[i]) != kind || pools[i].blocked) continue;
      if (smallest == none || size(i) < size(smallest)) smallest = i;
    }
    if (smallest == none) break;
    ++extra[smallest];
    --count;
  }
  return count;
}

}  // namespace

std::vector<ScaleOut> plan_scale_out(const std::vector<Pool>& pools, const Demand& demand) {
  std::vector<int> extra(pools.size(), 0);
  const int ordinary_have = total_machines(pools, Kind::ordinary);
  const int spot_have = total_machines(pools, Kind::spot);
  const int ordinary_want = whole_machines(demand.ordinary + demand.headroom);
  distribute(pools, Kind::ordinary, std::max(0, ordinary_want - ordinary_have), extra);

  // Ordinary machines that ordinary demand leaves free serve flexible demand too.
  const double ordinary_free =
      std::max(0.0, std::max(ordinary_have, ordinary_want) - demand.ordinary);
  int missing = std::max(0, whole_machines(demand.flexible - ordinary_free) - spot_have);
  missing = distribute(pools, Kind::spot, missing, extra);
  // Where no spot machines are available, ordinary ones are rented instead.
  distribute(pools, Kind::ordinary, missing, extra);

  std::vector<ScaleOut> scale_outs;
  for (std::size_t i = 0; i < pools.size(); ++i) {
    if (extra[i] > 0) scale_outs.push_back({i, extra[i]});
  }
  return scale_outs;
}

Surplus surplus(const std::vector<Pool>& pools, const Demand& demand) {
  const int ordinary_have = total_machines(pools, Kind::ordinary);
  const int spot_have = total_machines(pools, Kind::spot);
  const double ordinary_free = std::max(0.0, ordinary_have - demand.ordinary - demand.headroom);
  Surplus result;
  result.spot =
      std::max(0, spot_have - whole_machines(std::max(0.0, demand.flexible - ordinary_free)));
  const int ordinary_needed = whole_machines(demand.ordinary + demand.headroom +
                                             std::max(0.0, demand.flexible - spot_have));
  result.ordinary = std::max(0, ordinary_have - ordinary_needed);
  return result;
}

}  // namespace elmstall::sched
