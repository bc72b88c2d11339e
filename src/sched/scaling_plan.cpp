#include "sched/scaling_plan.hpp"

#include <algorithm>
#include <cmath>

namespace elmstall::sched {
namespace {

int whole(double machines) { return static_cast<int>(std::ceil(machines - 1e-6)); }

int total(const std::vector<Pool>& pools, bool spot) {
  int sum = 0;
  for (const auto& pool : pools) {
    if (pool.spot == spot) sum += pool.alive + pool.booting;
  }
  return sum;
}

/// Spreads `count` machines over the open pools of a kind, emptiest first.
int distribute(const std::vector<Pool>& pools, bool spot, int count, std::vector<int>& extra) {
  while (count > 0) {
    std::size_t best = pools.size();
    for (std::size_t i = 0; i < pools.size(); ++i) {
      if (pools[i].spot != spot || pools[i].blocked) continue;
      const auto size = [&](std::size_t k) { return pools[k].alive + pools[k].booting + extra[k]; };
      if (best == pools.size() || size(i) < size(best)) best = i;
    }
    if (best == pools.size()) break;
    ++extra[best];
    --count;
  }
  return count;
}

}  // namespace

std::vector<ScaleOut> plan_scale_out(const std::vector<Pool>& pools, const Demand& demand) {
  std::vector<int> extra(pools.size(), 0);
  const int ordinary_have = total(pools, false);
  const int spot_have = total(pools, true);
  const int ordinary_want = whole(demand.ordinary + demand.headroom);
  distribute(pools, false, std::max(0, ordinary_want - ordinary_have), extra);

  // What ordinary machines have left over serves flexible work too.
  const double left = std::max(0.0, std::max(ordinary_have, ordinary_want) - demand.ordinary);
  int missing = std::max(0, whole(demand.flexible - left) - spot_have);
  missing = distribute(pools, true, missing, extra);
  // No spot to be had: the work still has to be done.
  distribute(pools, false, missing, extra);

  std::vector<ScaleOut> scale_outs;
  for (std::size_t i = 0; i < pools.size(); ++i) {
    if (extra[i] > 0) scale_outs.push_back({i, extra[i]});
  }
  return scale_outs;
}

Surplus surplus(const std::vector<Pool>& pools, const Demand& demand) {
  const int ordinary_have = total(pools, false);
  const int spot_have = total(pools, true);
  const double left = std::max(0.0, ordinary_have - demand.ordinary - demand.headroom);
  Surplus result;
  result.spot = std::max(0, spot_have - whole(std::max(0.0, demand.flexible - left)));
  const int all_want =
      whole(demand.ordinary + demand.headroom + std::max(0.0, demand.flexible - spot_have));
  result.ordinary = std::max(0, ordinary_have - all_want);
  return result;
}

}  // namespace elmstall::sched
