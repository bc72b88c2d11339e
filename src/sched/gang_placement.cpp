#include "sched/gang_placement.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

namespace elmstall::sched {
namespace {

/// The cost of a whole placement. Costs are compared member by member, from the top.
struct Cost {
  std::size_t displacing = 0;    ///< tasks for which others must be preempted
  std::size_t avoided = 0;       ///< machines that should be avoided
  std::size_t uncached = 0;      ///< tasks in excess of the slots on machines with the image
  std::size_t slow_fetches = 0;  ///< machines that share their network with another fetch
  double waste = 0;              ///< slots that other tasks lose
  [[nodiscard]] bool less_than(const Cost& other) const {
    return std::tie(displacing, avoided, uncached, slow_fetches, waste) <
           std::tie(other.displacing, other.avoided, other.uncached, other.slow_fetches,
                    other.waste);
  }
};

struct Placement {
  std::vector<GangShare> shares;
  Cost cost;
};

/// How long the machine is likely to need until it has the image, from short to long.
enum class FetchRank : std::uint8_t { cached, network_free, network_shared_soon, network_shared };

FetchRank fetch_rank(const GangSite& site) {
  if (site.cached) return FetchRank::cached;
  if (site.fetching) return FetchRank::network_shared;
  return site.inviting ? FetchRank::network_shared_soon : FetchRank::network_free;
}

/// Indexes of sites, in the order in which the sites are filled.
using FillingOrder = std::vector<std::size_t>;

FillingOrder filling_order(const std::vector<GangSite>& sites) {
  FillingOrder order(sites.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const auto& x = sites[a];
    const auto& y = sites[b];
    // Machines with many free slots come first: on fewer machines there are fewer fetches to wait
    // for, both for this gang and for the next one with the same image.
    return std::tuple(x.avoid, fetch_rank(x), x.waste, y.free_slots) <
           std::tuple(y.avoid, fetch_rank(y), y.waste, x.free_slots);
  });
  return order;
}

/// Builds a placement by taking slots, site by site, until all tasks have one.
class PlacementBuilder {
 public:
  PlacementBuilder(const std::vector<GangSite>& sites, const GangRequest& request)
      : sites_(sites), request_(request), unplaced_(request.tasks) {}

  /// Takes as many free slots of the site as there are tasks left.
  void take_free(std::size_t site) { take_free_up_to(site, unplaced_); }
  /// Takes one free slot of the site, if there is one.
  void take_one(std::size_t site) { take_free_up_to(site, 1); }
  /// Takes as many extra slots of the site as there are tasks left.
  void take_extra(std::size_t site) {
    const auto count = std::min({sites_[site].extra_slots, unplaced_, zone_room(site)});
    take(site, count, count);
  }

  [[nodiscard]] bool complete() const { return unplaced_ == 0; }

  [[nodiscard]] Placement placement() const {
    Placement result;
    for (const auto& [index, share] : shares_) {
      const auto& site = sites_[index];
      result.shares.push_back(share);
      result.cost.displacing += share.displacing;
      result.cost.avoided += site.avoid ? 1 : 0;
      result.cost.slow_fetches += fetch_rank(site) > FetchRank::network_free ? 1 : 0;
      result.cost.waste += site.waste * static_cast<double>(share.tasks);
    }
    return result;
  }

 private:
  /// How many more tasks may be placed in the zone of the site.
  [[nodiscard]] std::size_t zone_room(std::size_t site) const {
    if (request_.zone_limit == 0) return unplaced_;
    const auto found = tasks_in_zone_.find(sites_[site].zone);
    const std::size_t placed = found == tasks_in_zone_.end() ? 0 : found->second;
    return request_.zone_limit - std::min(request_.zone_limit, placed);
  }

  void take_free_up_to(std::size_t site, std::size_t limit) {
    const auto found = shares_.find(site);
    const std::size_t taken = found == shares_.end() ? 0 : found->second.tasks;
    const auto free = sites_[site].free_slots - taken;
    take(site, std::min({free, limit, unplaced_, zone_room(site)}), 0);
  }

  void take(std::size_t site, std::size_t count, std::size_t displacing) {
    if (count == 0) return;
    auto& share = shares_[site];
    share.site = site;
    share.tasks += count;
    share.displacing += displacing;
    tasks_in_zone_[sites_[site].zone] += count;
    unplaced_ -= count;
  }

  const std::vector<GangSite>& sites_;
  const GangRequest& request_;
  std::size_t unplaced_;                              ///< tasks without a slot so far
  std::map<std::size_t, GangShare> shares_;           ///< by index of the site
  std::map<std::string, std::size_t> tasks_in_zone_;  ///< by name of the zone
};

/// Places the whole gang on machines that have its image, without preemption.
std::optional<Placement> place_without_fetch(const std::vector<GangSite>& sites,
                                             const FillingOrder& order,
                                             const GangRequest& request) {
  PlacementBuilder builder(sites, request);
  for (const auto site : order) {
    if (sites[site].cached && !sites[site].avoid) builder.take_free(site);
  }
  if (!builder.complete()) return std::nullopt;
  return builder.placement();
}

/// Takes extra slots, those first whose preemption loses the least work.
void take_extra_slots(const std::vector<GangSite>& sites, FillingOrder order,
                      PlacementBuilder& builder) {
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return sites[a].extra_cost < sites[b].extra_cost;
  });
  for (const auto site : order) builder.take_extra(site);
}

/// Places the gang when at least one of its machines has to fetch the image.
///
/// The whole gang waits for the slowest fetch, so more fetches cost it nothing. One task each first
/// goes to machines without the image on which other tasks lose nothing by it. The image thereby
/// reaches many machines, and the remaining slots on machines that have it are left to a gang that
/// can then start without a fetch.
std::optional<Placement> place_with_fetch(const std::vector<GangSite>& sites,
                                          const FillingOrder& order, const GangRequest& request,
                                          Preemption preemption) {
  PlacementBuilder builder(sites, request);
  for (const auto index : order) {
    const auto& site = sites[index];
    const bool spreads_image = !site.cached && !site.avoid && !site.fetching && site.waste <= 0;
    if (spreads_image) builder.take_one(index);
  }
  for (const auto site : order) builder.take_free(site);
  if (!builder.complete() && preemption == Preemption::allowed)
    take_extra_slots(sites, order, builder);
  if (!builder.complete()) return std::nullopt;
  auto placement = builder.placement();
  std::size_t cached_slots = 0;
  for (const auto site : order) cached_slots += sites[site].cached ? sites[site].free_slots : 0;
  placement.cost.uncached = request.tasks - std::min(request.tasks, cached_slots);
  return placement;
}

/// Places the gang on the sites that `order` contains.
std::optional<Placement> place_on(const std::vector<GangSite>& sites, const FillingOrder& order,
                                  const GangRequest& request, Preemption preemption) {
  auto placement = place_without_fetch(sites, order, request);
  return placement ? placement : place_with_fetch(sites, order, request, preemption);
}

}  // namespace

std::optional<std::vector<GangShare>> place_gang(const std::vector<GangSite>& sites,
                                                 const GangRequest& request,
                                                 Preemption preemption) {
  const auto order = filling_order(sites);
  if (!request.together) {
    auto placement = place_on(sites, order, request, preemption);
    if (!placement) return std::nullopt;
    return std::move(placement->shares);
  }
  std::map<std::string, FillingOrder> order_by_zone;
  for (const auto site : order) order_by_zone[sites[site].zone].push_back(site);
  std::optional<Placement> best;
  for (const auto& [zone, zone_order] : order_by_zone) {
    auto placement = place_on(sites, zone_order, request, preemption);
    if (placement && (!best || placement->cost.less_than(best->cost))) best = std::move(placement);
  }
  if (!best) return std::nullopt;
  return std::move(best->shares);
}

std::string zone_with_most_room(const std::vector<GangSite>& sites) {
  std::map<std::string, std::size_t> slots;
  for (const auto& site : sites) slots[site.zone] += site.free_slots + site.extra_slots;
  const auto best = std::max_element(
      slots.begin(), slots.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  return best == slots.end() ? std::string() : best->first;
}

}  // namespace elmstall::sched
