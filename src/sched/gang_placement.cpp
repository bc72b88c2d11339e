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
  std::size_t slow_fetches = 0;
  std::size_t fetches = 0;
  double waste = 0;
  [[nodiscard]] bool before(const Cost& other) const {
    return std::tie(displacing, avoided, slow_fetches, fetches, waste) <
           std::tie(other.displacing, other.avoided, other.slow_fetches, other.fetches,
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

  void take_free(std::size_t position) {
    const auto count = std::min({sites_[position].free_slots, left_, zone_room(position)});
    take(position, count, 0);
  }

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
      result.cost.fetches += site.cached ? 0 : 1;
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

std::optional<Placement> fill(const std::vector<GangSite>& sites,
                              const std::vector<std::size_t>& order, const GangRequest& request,
                              bool displace) {
  Filler filler(sites, request);
  for (const auto position : order) filler.take_free(position);
  if (!filler.complete() && displace) {
    auto by_cost = order;
    std::stable_sort(by_cost.begin(), by_cost.end(), [&](std::size_t a, std::size_t b) {
      return sites[a].extra_cost < sites[b].extra_cost;
    });
    for (const auto position : by_cost) filler.take_extra(position);
  }
  if (!filler.complete()) return std::nullopt;
  return filler.placement();
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

std::string roomiest_zone(const std::vector<GangSite>& sites) {
  std::map<std::string, std::size_t> slots;
  for (const auto& site : sites) slots[site.zone] += site.free_slots + site.extra_slots;
  const auto best = std::max_element(
      slots.begin(), slots.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  return best == slots.end() ? std::string() : best->first;
}

}  // namespace elmstall::sched
