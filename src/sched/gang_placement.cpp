#include "sched/gang_placement.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace elmstall::sched {
namespace {

/// What a whole placement costs; the smaller one is better.
struct Cost {
  std::size_t displacing = 0;
  std::size_t avoided = 0;
  std::size_t missing = 0;  ///< tasks beyond the slots of machines with the image
  std::size_t slow_fetches = 0;
  double waste = 0;
  [[nodiscard]] bool before(const Cost& other) const {
    return std::tie(displacing, avoided, missing, slow_fetches, waste) <
           std::tie(other.displacing, other.avoided, other.missing, other.slow_fetches,
                    other.waste);
  }
};

struct Placement {
  std::vector<GangShare> shares;
  Cost cost;
};

/// How long a fetch of the image is likely to take there, in order.
int fetch_rank(const GangSite& site) {
  if (site.cached) return 0;
  if (site.fetching) return 3;
  return site.inviting ? 2 : 1;
}

/// Positions of the sites in the order in which they are filled.
std::vector<std::size_t> filling_order(const std::vector<GangSite>& sites) {
  std::vector<std::size_t> order(sites.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const auto& x = sites[a];
    const auto& y = sites[b];
    // Fewer machines are fewer fetches to wait for, now and for the next gang.
    return std::tuple(x.avoid, fetch_rank(x), x.waste, y.free_slots) <
           std::tuple(y.avoid, fetch_rank(y), y.waste, x.free_slots);
  });
  return order;
}

/// Takes places one after the other until all tasks have one.
class Filler {
 public:
  Filler(const std::vector<GangSite>& sites, const GangRequest& request)
      : sites_(sites), request_(request), left_(request.tasks) {}

  void take_free(std::size_t position) { take_up_to(position, left_); }
  void take_one(std::size_t position) { take_up_to(position, 1); }

  void take_extra(std::size_t position) {
    const auto count = std::min({sites_[position].extra_slots, left_, zone_room(position)});
    take(position, count, count);
  }

  [[nodiscard]] bool complete() const { return left_ == 0; }

  [[nodiscard]] Placement placement() const {
    Placement result;
    for (const auto& [position, share] : shares_) {
      const auto& site = sites_[position];
      result.shares.push_back(share);
      result.cost.displacing += share.displacing;
      result.cost.avoided += site.avoid ? 1 : 0;
      result.cost.slow_fetches += fetch_rank(site) > 1 ? 1 : 0;
      result.cost.waste += site.waste * static_cast<double>(share.tasks);
    }
    return result;
  }

 private:
  [[nodiscard]] std::size_t zone_room(std::size_t position) const {
    if (request_.zone_limit == 0) return left_;
    const auto found = in_zone_.find(sites_[position].zone);
    const std::size_t there = found == in_zone_.end() ? 0 : found->second;
    return request_.zone_limit - std::min(request_.zone_limit, there);
  }

  void take_up_to(std::size_t position, std::size_t most) {
    const auto found = shares_.find(position);
    const std::size_t taken = found == shares_.end() ? 0 : found->second.tasks;
    const auto free = sites_[position].free_slots - taken;
    take(position, std::min({free, most, left_, zone_room(position)}), 0);
  }

  void take(std::size_t position, std::size_t count, std::size_t displacing) {
    if (count == 0) return;
    auto& share = shares_[position];
    share.site = position;
    share.tasks += count;
    share.displacing += displacing;
    in_zone_[sites_[position].zone] += count;
    left_ -= count;
  }

  const std::vector<GangSite>& sites_;
  const GangRequest& request_;
  std::size_t left_;
  std::map<std::size_t, GangShare> shares_;
  std::map<std::string, std::size_t> in_zone_;
};

using WorkerCommand = std::vector<std::size_t>;

/// On machines that have the image, all of it.
std::optional<Placement> fill_cached(const std::vector<GangSite>& sites, const WorkerCommand& order,
                                     const GangRequest& request) {
  Filler filler(sites, request);
  for (const auto position : order) {
    if (sites[position].cached && !sites[position].avoid) filler.take_free(position);
  }
  if (!filler.complete()) return std::nullopt;
  return filler.placement();
}

/// Where a fetch is needed the whole gang waits for it. Tasks then go one by one
/// to machines without the image where others lose nothing: it comes to many
/// machines, and the room beside it is left to a gang that needs no fetch.
std::optional<Placement> fill_fetching(const std::vector<GangSite>& sites,
                                       const WorkerCommand& order, const GangRequest& request,
                                       bool displace) {
  Filler filler(sites, request);
  for (const auto position : order) {
    const auto& site = sites[position];
    const bool seed = !site.cached && !site.avoid && !site.fetching && site.waste <= 0;
    if (seed) filler.take_one(position);
  }
  for (const auto position : order) filler.take_free(position);
  if (!filler.complete() && displace) {
    auto by_cost = order;
    std::stable_sort(by_cost.begin(), by_cost.end(), [&](std::size_t a, std::size_t b) {
      return sites[a].extra_cost < sites[b].extra_cost;
    });
    for (const auto position : by_cost) filler.take_extra(position);
  }
  if (!filler.complete()) return std::nullopt;
  auto placement = filler.placement();
  std::size_t cached = 0;
  for (const auto position : order)
    cached += sites[position].cached ? sites[position].free_slots : 0;
  placement.cost.missing = request.tasks - std::min(request.tasks, cached);
  return placement;
}

std::optional<Placement> fill(const std::vector<GangSite>& sites, const WorkerCommand& order,
                              const GangRequest& request, bool displace) {
  auto cached = fill_cached(sites, order, request);
  return cached ? cached : fill_fetching(sites, order, request, displace);
}

}  // namespace

std::optional<std::vector<GangShare>> place_gang(const std::vector<GangSite>& sites,
                                                 const GangRequest& request, bool displace) {
  const auto order = filling_order(sites);
  if (!request.together) {
    auto placement = fill(sites, order, request, displace);
    if (!placement) return std::nullopt;
    return std::move(placement->shares);
  }
  std::map<std::string, std::vector<std::size_t>> by_zone;
  for (const auto position : order) by_zone[sites[position].zone].push_back(position);
  std::optional<Placement> best;
  for (const auto& [zone, positions] : by_zone) {
    auto placement = fill(sites, positions, request, displace);
    if (placement && (!best || placement->cost.before(best->cost))) best = std::move(placement);
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
