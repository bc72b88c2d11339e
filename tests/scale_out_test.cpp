/// \file
/// Which machines are rented for the jobs that wait.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

/// After a takeover what was found was once counted as having arrived at that
/// moment, and machines were rented for as much again.
TEST(ScaleOut, TakeoverDoesNotCountExistingJobsAsArrivals) {
  World world(40);
  world.cloud.capacity = 60;
  for (int i = 1; i <= 6; ++i) {
    auto job = array(i, 4, 100);
    job.due_s = 110;  // urgent: nothing like it can wait for a boot
    world.submit(job);
  }
  world.run_until(50);
  const auto before = world.workers.size();
  world.crash(leader_index(world), 0.3);
  world.run_until(75);
  ASSERT_NE(world.leader(), nullptr);
  EXPECT_LE(world.workers.size(), before + 1);
  expect_no_violations(world);
}

/// A job bound to one zone once waited for ever beside idle machines of another,
/// and so did a gang larger than the machines of any one zone.
TEST(ScaleOut, RentsMachinesInTheZonesOfBoundJobs) {
  for (const char* zone : {"north", "south"}) {
    World world(41);
    auto bound = array(1, 6, 300);
    bound.zone = zone;
    bound.spot = false;
    world.submit(bound);
    auto gang = array(2, 8, 300);
    gang.kind = wire::JobKind::gang;
    gang.together = true;
    world.submit(gang);
    world.run_until(120);
    EXPECT_EQ(placed_tasks(world, "job-1"), 6U) << zone;
    EXPECT_EQ(placed_tasks(world, "job-2"), 8U) << zone;
    expect_no_violations(world);
  }
}

/// Safety rule 9: a rental without an answer is repeated under its name.
TEST(ScaleOut, UnansweredRequestIsNotExecutedTwice) {
  World world(23);
  world.cloud.lost_responses = 3;
  auto job = array(1, 4, 60);
  world.submit(job);
  world.run_until(30);
  EXPECT_EQ(running_tasks(world, "job-1"), 4U);
  EXPECT_LE(world.workers.size(), 4U);  // two for the tasks, headroom, rounding
  expect_starts_without_violations(world);
}

}  // namespace
}  // namespace elmstall::test
