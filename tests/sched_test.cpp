/// \file
/// Load balancing between workers, limits of teams, scaling plans and arrival rates.
#include <gtest/gtest.h>

#include <chrono>
#include <numeric>
#include <random>

#include "sched/arrivals.hpp"
#include "sched/group.hpp"
#include "sched/resources.hpp"
#include "sched/scaling_plan.hpp"

namespace elmstall::sched {
namespace {

std::vector<WorkerLoad> loads(std::initializer_list<double> queues) {
  std::vector<WorkerLoad> result;
  for (const double q : queues) result.push_back({q, 1, true});
  return result;
}

TEST(LoadBalancing, MatchesTheWorkedExampleOfThePaper) {
  // Section IV-A of the paper by Tang et al.: queues (0, 0, 200). Node 3 is 133 above the mean of
  // 67 and sends 66 tasks to each of the others, which then forward none.
  const auto workers = loads({0, 0, 200});
  EXPECT_NEAR(mean_wait(workers), 66.67, 0.01);
  const auto shares = excess_shares(workers, 2, mean_wait(workers));
  EXPECT_DOUBLE_EQ(shares[0], 0.5);
  EXPECT_DOUBLE_EQ(shares[1], 0.5);
  const auto moves = balance_round(workers, 10);
  ASSERT_EQ(moves.size(), 2U);
  EXPECT_EQ(moves[0].tasks, 66U);
  EXPECT_EQ(moves[1].tasks, 66U);
  EXPECT_TRUE(balance_round(loads({66, 66, 68}), 10).empty());
}

TEST(LoadBalancing, SharesAreProportionalToTheShortfall) {
  const auto workers = loads({0, 30, 90});
  const auto shares = excess_shares(workers, 2, 40);
  EXPECT_DOUBLE_EQ(shares[0], 0.8);
  EXPECT_DOUBLE_EQ(shares[1], 0.2);
  EXPECT_DOUBLE_EQ(shares[2], 0);
}

TEST(LoadBalancing, DifferencesBelowTheThresholdMoveNoTasks) {
  EXPECT_TRUE(balance_round(loads({0, 0, 14}), 10).empty());
  EXPECT_FALSE(balance_round(loads({0, 0, 18}), 10).empty());
}

TEST(LoadBalancing, OnlyWorkersWithRoomGetShares) {
  auto workers = loads({0, 0, 200});
  workers[0].has_room = false;
  for (const auto& move : balance_round(workers, 10)) EXPECT_EQ(move.to, 1U);
}

/// A reference model of one round of balancing: a queue is only its length, and every formula is
/// written as in the paper.
std::vector<double> reference_round(std::vector<double> q, double threshold) {
  double mean = 0;
  for (const double x : q) mean += x;
  mean /= static_cast<double>(q.size());
  const std::size_t n = q.size();
  for (std::size_t j = 0; j < n; ++j) {
    if (q[j] <= mean + threshold) continue;
    const double excess = std::floor(q[j] - mean + 1e-9);
    double total = 0;
    for (std::size_t i = 0; i < n; ++i) total += i == j ? 0 : std::max(0.0, mean - q[i]);
    if (total <= 0) continue;
    std::vector<double> p(n, 0);
    for (std::size_t i = 0; i < n; ++i) p[i] = i == j ? 0 : std::max(0.0, mean - q[i]) / total;
    for (std::size_t i = 0; i < n; ++i) {
      const double sent = std::floor(p[i] * excess + 1e-9);
      q[i] += sent;
      q[j] -= sent;
    }
  }
  return q;
}

TEST(Group, BalanceMatchesTheReferenceModel) {
  std::mt19937 random(3);
  for (int round = 0; round < 200; ++round) {
    Group group;
    const auto always = [](TaskId, const std::string&) { return true; };
    const std::size_t workers = 2 + random() % 6;
    std::vector<double> expected;
    TaskId next = 1;
    for (std::size_t w = 0; w < workers; ++w) {
      const std::string name(1, static_cast<char>('a' + w));
      // Only this worker may run its block, so the block lands there.
      group.set_worker(name, 0, 1, true);
      std::vector<QueuedTask> block(random() % 60);
      for (auto& task : block) task = {next++, 0, 0, 0, 1.0};
      expected.push_back(static_cast<double>(block.size()));
      group.push_block(block, [&](TaskId, const std::string& worker) { return worker == name; });
    }
    group.balance(5, always);
    expected = reference_round(expected, 5);
    std::size_t w = 0;
    for (const auto& [name, worker] : group.workers()) {
      ASSERT_EQ(worker.queue.size(), static_cast<std::size_t>(expected[w++])) << "round " << round;
    }
    ASSERT_EQ(group.queued_count(), next - 1) << "no task is lost or duplicated";
  }
}

TEST(Group, InTransitTasksCountAtTheReceiver) {
  Group group;
  group.set_worker("a", 5, 1, true);
  group.set_worker("b", 0, 1, true);
  EXPECT_GT(group.anticipated_wait(group.workers().at("a")),
            group.anticipated_wait(group.workers().at("b")));
  group.push_block({{1, 0, 0, 0, 10}}, [](TaskId, const std::string&) { return true; });
  EXPECT_EQ(group.workers().at("b").queue.size(), 1U);
}

TEST(Group, IdleWorkerTakesTheHeadOfTheLongestQueue) {
  Group group;
  for (const char* name : {"a", "b", "c"}) group.set_worker(name, 0, 1, true);
  const auto only = [](const std::string& name) {
    return [name](TaskId, const std::string& worker) { return worker == name; };
  };
  group.push_block({{1, 0, 0, 5, 1}}, only("a"));
  group.push_block({{2, 0, 0, 9, 1}, {3, 0, 0, 7, 1}}, only("b"));
  const auto any = [](TaskId) { return true; };
  // The queue of b is longest, and task 3 is due first in it.
  EXPECT_EQ(group.next("c", any)->id, 3U);
  // The own queue goes first.
  EXPECT_EQ(group.next("a", any)->id, 1U);
  EXPECT_EQ(group.next("c", [](TaskId id) { return id == 1; })->id, 1U);
}

TEST(Group, QueuesAreOrderedByPrecedenceTierAndDueTime) {
  Group group;
  group.set_worker("a", 0, 1, true);
  group.push_block({{1, 0, 1, 5, 1}, {2, 0, 0, 9, 1}, {3, 2, 3, 99, 1}, {4, 0, 0, 8, 1}},
                   [](TaskId, const std::string&) { return true; });
  std::vector<TaskId> order;
  for (const auto& task : group.workers().at("a").queue) order.push_back(task.id);
  EXPECT_EQ(order, (std::vector<TaskId>{3, 4, 2, 1}));
}

TEST(Group, TasksOfARemovedWorkerMoveToTheOthers) {
  Group group;
  const auto always = [](TaskId, const std::string&) { return true; };
  group.set_worker("a", 0, 1, true);
  group.push_block({{1, 0, 0, 5, 1}, {2, 0, 0, 6, 1}}, always);
  group.remove_worker("a");
  EXPECT_EQ(group.shared_queue().size(), 2U);
  group.set_worker("b", 0, 1, true);
  group.distribute_shared_queue(always);
  EXPECT_EQ(group.workers().at("b").queue.size(), 2U);
}

TEST(Resources, ZeroMeansNoLimitAndNoGuarantee) {
  const config::Team open{"open", 0, 0, 0, 0};
  EXPECT_TRUE(within_limit(open, {1e6, 1e6, 1e6}));
  EXPECT_FALSE(within_guarantee(open, {}));
  const config::Team team{"team", 0, 0, 4, 8};
  EXPECT_TRUE(within_limit(team, {100, 8, 0}));
  EXPECT_FALSE(within_limit(team, {100, 9, 0}));
  EXPECT_TRUE(within_guarantee(team, {100, 4, 0}));
  EXPECT_FALSE(within_guarantee(team, {0, 5, 0}));
}

TEST(Resources, SpreadLimitIsHalfOfTheTasksRoundedUp) {
  EXPECT_EQ(spread_limit(9), 5U);
  EXPECT_EQ(spread_limit(1), 1U);
  EXPECT_EQ(spread_limit(4), 2U);
}

int count_of(const std::vector<ScaleOut>& scale_outs, std::size_t pool) {
  int sum = 0;
  for (const auto& scale_out : scale_outs) sum += scale_out.pool == pool ? scale_out.count : 0;
  return sum;
}

TEST(FleetPlan, RentsSpotForFlexibleDemandAndOrdinaryForTheRest) {
  const std::vector<Pool> pools{{"t", "a", false, 6, 1, 0, false},
                                {"t", "a", true, 2, 0, 0, false},
                                {"t", "b", true, 2, 0, 1, false}};
  const auto scale_outs = plan_scale_out(pools, {3, 4, 0});
  EXPECT_EQ(count_of(scale_outs, 0), 2);
  EXPECT_EQ(count_of(scale_outs, 1), 2);  // the pool with the fewest machines first
  EXPECT_EQ(count_of(scale_outs, 2), 1);
}

TEST(FleetPlan, NoSpotCapacityFallsBackToOrdinary) {
  const std::vector<Pool> pools{{"t", "a", false, 6, 0, 0, false}, {"t", "a", true, 2, 0, 0, true}};
  EXPECT_EQ(count_of(plan_scale_out(pools, {0, 3, 0}), 0), 3);
  EXPECT_TRUE(plan_scale_out({{"t", "a", false, 6, 0, 0, true}}, {5, 0, 0}).empty());
}

/// A slow plain model: each machine is added to the pool that is the smallest by then.
std::vector<int> added_one_by_one(const std::vector<Pool>& pools, int count) {
  std::vector<int> extra(pools.size(), 0);
  for (; count > 0; --count) {
    std::size_t smallest = pools.size();
    const auto size = [&](std::size_t i) { return pools[i].alive + pools[i].booting + extra[i]; };
    for (std::size_t i = 0; i < pools.size(); ++i) {
      if (pools[i].spot || pools[i].blocked) continue;
      if (smallest == pools.size() || size(i) < size(smallest)) smallest = i;
    }
    if (smallest == pools.size()) break;
    ++extra[smallest];
  }
  return extra;
}

TEST(FleetPlan, MachinesAreAddedAsInThePlainModel) {
  std::mt19937 generator(56);
  const auto draw = [&](int most) {
    return static_cast<int>(generator() % static_cast<unsigned>(most + 1));
  };
  for (int round = 0; round < 2000; ++round) {
    std::vector<Pool> pools;
    int have = 0;
    for (int i = 0; i <= draw(5); ++i) {
      pools.push_back({"t", "a", draw(3) == 0, 6, draw(9), draw(4), draw(4) == 0});
      if (!pools.back().spot) have += pools.back().alive + pools.back().booting;
    }
    const int missing = draw(40);
    const auto expected = added_one_by_one(pools, missing);
    std::vector<int> planned(pools.size(), 0);
    for (const auto& scale_out : plan_scale_out(pools, {static_cast<double>(have + missing), 0, 0}))
      planned[scale_out.pool] = scale_out.count;
    EXPECT_EQ(planned, expected);
  }
}

/// Guards against a leader that plans machines for many large jobs one by one, for minutes.
TEST(FleetPlan, AnyDemandIsPlannedAtOnce) {
  const std::vector<Pool> pools{{"t", "a", false, 6, 3, 0, false},
                                {"t", "b", false, 6, 0, 0, false}};
  const auto begin = std::chrono::steady_clock::now();
  for (int round = 0; round < 100; ++round)
    EXPECT_EQ(plan_scale_out(pools, {1e12, 0, 0}).size(), 2U);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(1));
}

TEST(FleetPlan, SurplusIsWhatNoDemandNeeds) {
  const std::vector<Pool> pools{{"t", "a", false, 6, 5, 0, false},
                                {"t", "a", true, 2, 3, 0, false}};
  const auto spare = surplus(pools, {2, 1, 1});
  EXPECT_EQ(spare.ordinary, 2);
  EXPECT_EQ(spare.spot, 3);
}

TEST(Arrivals, RateFollowsArrivalsAndDecays) {
  ArrivalRate rate(60, 0);
  for (int t = 1; t <= 300; ++t) rate.add(t, 0.5);
  EXPECT_NEAR(rate.per_second(300), 0.5, 0.02);
  EXPECT_LT(rate.per_second(600), 0.01);
}

}  // namespace
}  // namespace elmstall::sched
