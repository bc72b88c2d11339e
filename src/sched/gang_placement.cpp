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
  std::size_t preempting = 0;    ///< tasks for which others must be preempted
  std::size_t avoided = 0;       ///< machines that should be avoided
  std::size_t uncached = 0;      ///< tasks in excess of the slots on machines with the image
  std::size_t slow_fetches = 0;  ///< machines that share their network with another fetch
  double waste = 0;              ///< slots that other tasks lose
  [[nodiscard]] bool less_than(const Cost& other) const {
    return std::tie(preempting, avoided, uncached, slow_fetches, waste) <
           std::tie(other.preempting, other.avoided, other.uncached, other.slow_fetches,
                    other.waste);
  }
};

struct Placement {
  std::vector<GangShare> shares;
  Cost cost;
};

/// Expected time until the machine has the image, from shortest to longest.
enum class FetchRank : std::uint8_t { cached, network_free, network_shared_soon, network_shared };

FetchRank fetch_rank(const GangCandidate& candidate) {
  if (candidate.cached) return FetchRank::cached;
  if (candidate.fetching) return FetchRank::network_shared;
  return candidate.has_room_for_others ? FetchRank::network_shared_soon : FetchRank::network_free;
}

/// Indexes of candidates, in the order in which the candidates are filled.
using FillingOrder = std::vector<std::size_t>;

FillingOrder filling_order(const std::vector<GangCandidate>& candidates) {
  FillingOrder order(candidates.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const auto& x = candidates[a];
    const auto& y = candidates[b];
    // Machines with many free slots come first: on fewer machines there are fewer fetches to wait
    // for, both for this gang and for the next one with the same image.
    return std::tuple(x.avoid, fetch_rank(x), x.waste, y.free_slots) <
           std::tuple(y.avoid, fetch_rank(y), y.waste, x.free_slots);
  });
  return order;
}

/// Builds a placement by taking slots, candidate by candidate, until all tasks have one.
class PlacementBuilder {
 public:
  PlacementBuilder(const std::vector<GangCandidate>& candidates, const GangRequest& request)
      : candidates_(candidates), request_(request), unplaced_(request.tasks) {}

  /// Takes as many free slots of the candidate as there are tasks left.
  void take_free(std::size_t candidate) { take_free_up_to(candidate, unplaced_); }
  /// Takes one free slot of the candidate, if there is one.
  void take_one(std::size_t candidate) { take_free_up_to(candidate, 1); }
  /// Takes as many preemptible slots of the candidate as there are tasks left.
  void take_preemptible(std::size_t candidate) {
    const auto count =
        std::min({candidates_[candidate].preemptible_slots, unplaced_, zone_room(candidate)});
    take(candidate, count, count);
  }

  [[nodiscard]] bool complete() const { return unplaced_ == 0; }

  [[nodiscard]] Placement placement() const {
    Placement result;
    for (const auto& [index, share] : shares_) {
      const auto& candidate = candidates_[index];
      result.shares.push_back(share);
      result.cost.preempting += share.preempting;
      result.cost.avoided += candidate.avoid ? 1 : 0;
      result.cost.slow_fetches += fetch_rank(candidate) > FetchRank::network_free ? 1 : 0;
      result.cost.waste += candidate.waste * static_cast<double>(share.tasks);
    }
    return result;
  }

 private:
  /// How many more tasks may be placed in the zone of the candidate.
  [[nodiscard]] std::size_t zone_room(std::size_t candidate) const {
    if (request_.zone_limit == 0) return unplaced_;
    const auto found = tasks_in_zone_.find(candidates_[candidate].zone);
    const std::size_t placed = found == tasks_in_zone_.end() ? 0 : found->second;
    return request_.zone_limit - std::min(request_.zone_limit, placed);
  }

  void take_free_up_to(std::size_t candidate, std::size_t limit) {
    const auto found = shares_.find(candidate);
    const std::size_t taken = found == shares_.end() ? 0 : found->second.tasks;
    const auto free = candidates_[candidate].free_slots - taken;
    take(candidate, std::min({free, limit, unplaced_, zone_room(candidate)}), 0);
  }

  void take(std::size_t candidate, std::size_t count, std::size_t preempting) {
    if (count == 0) return;
    auto& share = shares_[candidate];
    share.candidate = candidate;
    share.tasks += count;
    share.preempting += preempting;
    tasks_in_zone_[candidates_[candidate].zone] += count;
    unplaced_ -= count;
  }

  const std::vector<GangCandidate>& candidates_;
  const GangRequest& request_;
  std::size_t unplaced_;                              ///< tasks without a slot so far
  std::map<std::size_t, GangShare> shares_;           ///< by index of the candidate
  std::map<std::string, std::size_t> tasks_in_zone_;  ///< by name of the zone
};

/// Places the whole gang on machines that have its image, without preemption.
std::optional<Placement> place_without_fetch(const std::vector<GangCandidate>& candidates,
                                             const FillingOrder& order,
                                             const GangRequest& request) {
  PlacementBuilder builder(candidates, request);
  for (const auto candidate : order) {
    if (candidates[candidate].cached && !candidates[candidate].avoid) builder.take_free(candidate);
  }
  if (!builder.complete()) return std::nullopt;
  return builder.placement();
}

/// Takes preemptible slots, those first whose preemption loses the least work.
void take_preemptible_slots(const std::vector<GangCandidate>& candidates, FillingOrder order,
                            PlacementBuilder& builder) {
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return candidates[a].preemption_cost_s < candidates[b].preemption_cost_s;
  });
  for (const auto candidate : order) builder.take_preemptible(candidate);
}

/// Places the gang when at least one of its machines has to fetch the image.
///
/// The whole gang waits for the slowest fetch, so more fetches cost it nothing. One task each first
/// goes to machines without the image where this takes no slots from other tasks. The image thereby
/// reaches many machines, and the remaining slots on machines that have it are left to a gang that
/// can then start without a fetch.
std::optional<Placement> place_with_fetch(const std::vector<GangCandidate>& candidates,
                                          const FillingOrder& order, const GangRequest& request,
                                          Preemption preemption) {
  PlacementBuilder builder(candidates, request);
  for (const auto index : order) {
    const auto& candidate = candidates[index];
    const bool spreads_image =
        !candidate.cached && !candidate.avoid && !candidate.fetching && candidate.waste <= 0;
    if (spreads_image) builder.take_one(index);
  }
  for (const auto candidate : order) builder.take_free(candidate);
  if (!builder.complete() && preemption == Preemption::allowed)
    take_preemptible_slots(candidates, order, builder);
  if (!builder.complete()) return std::nullopt;
  auto placement = builder.placement();
  std::size_t cached_slots = 0;
  for (const auto candidate : order)
    cached_slots += candidates[candidate].cached ? candidates[candidate].free_slots : 0;
  placement.cost.uncached = request.tasks - std::min(request.tasks, cached_slots);
  return placement;
}

/// Places the gang on the candidates that `order` contains.
std::optional<Placement> place_on(const std::vector<GangCandidate>& candidates,
                                  const FillingOrder& order, const GangRequest& request,
                                  Preemption preemption) {
  auto placement = place_without_fetch(candidates, order, request);
  return placement ? placement : place_with_fetch(candidates, order, request, preemption);
}

}  // namespace

std::optional<std::vector<GangShare>> place_gang(const std::vector<GangCandidate>& candidates,
                                                 const GangRequest& request,
                                                 Preemption preemption) {
  const auto order = filling_order(candidates);
  if (!request.together) {
    auto placement = place_on(candidates, order, request, preemption);
    if (!placement) return std::nullopt;
    return std::move(placement->shares);
  }
  std::map<std::string, FillingOrder> order_by_zone;
  for (const auto candidate : order) order_by_zone[candidates[candidate].zone].push_back(candidate);
  std::optional<Placement> best;
  for (const auto& [zone, zone_order] : order_by_zone) {
    auto placement = place_on(candidates, zone_order, request, preemption);
    if (placement && (!best || placement->cost.less_than(best->cost))) best = std::move(placement);
  }
  if (!best) return std::nullopt;
  return std::move(best->shares);
}

std::string zone_with_most_room(const std::vector<GangCandidate>& candidates) {
  std::map<std::string, std::size_t> slots;
  for (const auto& candidate : candidates)
    slots[candidate.zone] += candidate.free_slots + candidate.preemptible_slots;
  const auto best = std::max_element(
      slots.begin(), slots.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  return best == slots.end() ? std::string() : best->first;
}

}  // namespace elmstall::sched
