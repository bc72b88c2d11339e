/// \file
/// Which machines are rented for waiting jobs.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

/// A new leader once counted the jobs that it found as arrivals at the time of the takeover, and
/// rented machines for the same number of further jobs.
TEST(ScaleOut, TakeoverDoesNotCountExistingJobsAsArrivals) {
  World world(40);
  world.cloud.capacity = 60;
  for (int i = 1; i <= 6; ++i) {
    auto job = array(i, 4, 100);
    job.due_s = 110;  // urgent: such a job can't wait for a machine to boot
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

/// A job bound to one zone once waited for ever while machines of another zone were idle. So did a
/// gang that needed more machines than any one zone had.
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

/// A request to rent machines that gets no response is repeated under the same name (rule 9).
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
