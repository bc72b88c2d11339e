/// \file
/// Placement of gangs, compared with an exhaustive search over all distributions.
#include "sched/gang_placement.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace elmstall::sched {
namespace {

/// Whether any distribution places all tasks. Tries every number of tasks on each candidate.
bool placement_exists(const std::vector<GangCandidate>& candidates, const GangRequest& request,
                      bool preempt, std::size_t candidate,
                      std::map<std::string, std::size_t> in_zone, std::size_t left) {
  if (left == 0) {
    std::size_t zones = 0;
    for (const auto& [zone, count] : in_zone) {
      if (count > 0) ++zones;
      if (request.zone_limit > 0 && count > request.zone_limit) return false;
    }
    return !request.together || zones <= 1;
  }
  if (candidate == candidates.size()) return false;
  const auto slots =
      candidates[candidate].free_slots + (preempt ? candidates[candidate].preemptible_slots : 0);
  for (std::size_t count = 0; count <= std::min(slots, left); ++count) {
    auto next = in_zone;
    next[candidates[candidate].zone] += count;
    if (placement_exists(candidates, request, preempt, candidate + 1, next, left - count))
      return true;
  }
  return false;
}

class GangPlacement : public ::testing::TestWithParam<unsigned> {};

TEST_P(GangPlacement, FindsAPlacementWheneverOneExists) {
  std::mt19937 random(GetParam());
  const auto pick = [&](std::size_t limit) { return random() % (limit + 1); };
  for (int round = 0; round < 200; ++round) {
    std::vector<GangCandidate> candidates(1 + pick(4));
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      candidates[i] = {i,
                       i % 2 == 0 ? "north" : "south",
                       pick(3),
                       pick(2),
                       pick(4) == 0,
                       pick(1) == 0,
                       pick(1) == 0,
                       pick(1) == 0,
                       static_cast<double>(pick(3)),
                       static_cast<double>(pick(9))};
    }
    GangRequest request;
    request.tasks = 1 + pick(6);
    request.together = pick(1) == 0;
    if (!request.together && pick(1) == 0) request.zone_limit = (request.tasks + 1) / 2;
    const bool preempt = pick(1) == 0;
    const auto shares =
        place_gang(candidates, request, preempt ? Preemption::allowed : Preemption::forbidden);
    ASSERT_EQ(shares.has_value(),
              placement_exists(candidates, request, preempt, 0, {}, request.tasks));
    if (!shares) continue;
    std::size_t placed = 0;
    std::map<std::string, std::size_t> in_zone;
    for (const auto& share : *shares) {
      const auto& candidate = candidates[share.candidate];
      EXPECT_LE(share.tasks - share.preempting, candidate.free_slots);
      EXPECT_LE(share.preempting, preempt ? candidate.preemptible_slots : 0);
      placed += share.tasks;
      in_zone[candidate.zone] += share.tasks;
    }
    EXPECT_EQ(placed, request.tasks);
    EXPECT_TRUE(!request.together || in_zone.size() == 1);
    for (const auto& [zone, count] : in_zone)
      EXPECT_TRUE(request.zone_limit == 0 || count <= request.zone_limit);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, GangPlacement, ::testing::Range(1U, 6U));

TEST(GangPlacementOrder, PrefersCachedImageThenLeastWaste) {
  std::vector<GangCandidate> candidates(3);
  candidates[0] = {0, "north", 2, 0, false, false, false, false, 0, 0};
  candidates[1] = {1, "north", 2, 0, false, true, false, false, 3, 0};
  candidates[2] = {2, "north", 2, 0, false, true, true, false, 0, 0};
  const auto shares = place_gang(candidates, {3, true, 0}, Preemption::forbidden);
  ASSERT_TRUE(shares);
  ASSERT_EQ(shares->size(), 2U);
  EXPECT_EQ((*shares)[0].candidate, 1U);
  EXPECT_EQ((*shares)[0].tasks, 1U);
  EXPECT_EQ((*shares)[1].candidate, 2U);
  EXPECT_EQ((*shares)[1].tasks, 2U);
}

/// A fetch takes twice as long beside another one, and the whole gang waits for the slowest fetch.
TEST(GangPlacementOrder, PrefersFreeNetworkThenLeastWaste) {
  std::vector<GangCandidate> candidates(2);
  candidates[0] = {0, "north", 2, 0, false, false, true, false, 0, 0};
  candidates[1] = {1, "north", 2, 0, false, false, false, false, 3, 0};
  const auto shares = place_gang(candidates, {2, true, 0}, Preemption::forbidden);
  ASSERT_TRUE(shares);
  ASSERT_EQ(shares->size(), 1U);
  EXPECT_EQ(shares->front().candidate, 1U);
}

TEST(GangPlacementOrder, PrefersMachineWithoutRoomForOthers) {
  std::vector<GangCandidate> candidates(2);
  candidates[0] = {0, "north", 2, 0, false, false, false, true, 0, 0};
  candidates[1] = {1, "north", 2, 0, false, false, false, false, 0, 0};
  const auto shares = place_gang(candidates, {1, true, 0}, Preemption::forbidden);
  ASSERT_TRUE(shares);
  EXPECT_EQ(shares->front().candidate, 1U);
}

/// Slots on a machine that has the image are left to a gang that fits there completely.
TEST(GangPlacementOrder, SpreadsTheGangWhenTheImageMustBeFetched) {
  std::vector<GangCandidate> candidates(4);
  candidates[0] = {0, "north", 2, 0, false, true, false, false, 0, 0};
  for (std::size_t i = 1; i < 4; ++i)
    candidates[i] = {i, "north", 2, 0, false, false, false, false, 0, 0};
  GangRequest request{3, true, 0};
  const auto spread = place_gang(candidates, request, Preemption::forbidden);
  ASSERT_TRUE(spread);
  ASSERT_EQ(spread->size(), 3U);
  for (const auto& share : *spread) EXPECT_NE(share.candidate, 0U);
  request.tasks = 2;
  const auto on_cached = place_gang(candidates, request, Preemption::forbidden);
  ASSERT_TRUE(on_cached);
  ASSERT_EQ(on_cached->size(), 1U);
  EXPECT_EQ(on_cached->front().candidate, 0U);
}

TEST(GangPlacementOrder, PrefersZoneWithoutPreemption) {
  std::vector<GangCandidate> candidates(2);
  candidates[0] = {0, "north", 1, 5, false, true, false, false, 0, 1};
  candidates[1] = {1, "south", 2, 0, false, false, false, false, 9, 0};
  const auto shares = place_gang(candidates, {2, true, 0}, Preemption::allowed);
  ASSERT_TRUE(shares);
  ASSERT_EQ(shares->size(), 1U);
  EXPECT_EQ(shares->front().candidate, 1U);
  EXPECT_EQ(shares->front().preempting, 0U);
}

}  // namespace
}  // namespace elmstall::sched
