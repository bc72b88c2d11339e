#include "sched/scaling_plan.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "config/constants.hpp"

namespace elmstall::sched {
namespace {

enum class Kind : std::uint8_t { ordinary, spot };

Kind kind_of(const Pool& pool) { return pool.spot ? Kind::spot : Kind::ordinary; }

/// Machines. Rounding errors in sums of demands must not add a machine.
constexpr double kRoundingSlack = 1e-6;

int whole_machines(double machines) {
  return static_cast<int>(
      std::ceil(std::min(machines, constants::kMaxMachinesPlanned) - kRoundingSlack));
}

int total_machines(const std::vector<Pool>& pools, Kind kind) {
  int sum = 0;
  for (const auto& pool : pools) {
    if (kind_of(pool) == kind) sum += pool.alive + pool.booting;
  }
  return sum;
}

/// A pool that machines are added to.
struct Growing {
  std::size_t index = 0;  ///< position among the pools
  std::int64_t size = 0;  ///< its machines, with those added
};

/// The pools of the kind that are not blocked, the smallest first.
std::vector<Growing> growing_pools(const std::vector<Pool>& pools, Kind kind,
                                   const std::vector<int>& extra) {
  std::vector<Growing> growing;
  for (std::size_t i = 0; i < pools.size(); ++i) {
    if (kind_of(pools[i]) == kind && !pools[i].blocked)
      growing.push_back({i, pools[i].alive + pools[i].booting + extra[i]});
  }
  std::stable_sort(growing.begin(), growing.end(),
                   [](const Growing& a, const Growing& b) { return a.size < b.size; });
  return growing;
}

/// Adds `count` machines to the smallest pools of the kind that are not blocked, in `extra`, which
/// has one number for each pool: the result is as if each machine were added to the pool that is
/// the smallest by then. Returns how many could not be added. The work does not depend on `count`,
/// which may be in the millions.
int distribute(const std::vector<Pool>& pools, Kind kind, int count, std::vector<int>& extra) {
  const auto growing = growing_pools(pools, kind, extra);
  if (growing.empty() || count <= 0) return count;
  // The smallest pools, `levelled` of them, grow to the same size.
  std::int64_t total = count + growing.front().size;
  std::size_t levelled = 1;
  while (levelled < growing.size() &&
         growing[levelled].size * static_cast<std::int64_t>(levelled) < total)
    total += growing[levelled++].size;
  const auto pool_count = static_cast<std::int64_t>(levelled);
  const auto level = total / pool_count;
  auto remainder = total % pool_count;
  std::vector<Growing> smallest(growing.begin(),
                                growing.begin() + static_cast<std::ptrdiff_t>(levelled));
  std::sort(smallest.begin(), smallest.end(),
            [](const Growing& a, const Growing& b) { return a.index < b.index; });
  for (const auto& pool : smallest) {
    const std::int64_t target = level + (remainder > 0 ? 1 : 0);
    remainder -= remainder > 0 ? 1 : 0;
    extra[pool.index] += static_cast<int>(target - pool.size);
  }
  return 0;
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
