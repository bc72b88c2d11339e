/// \file
/// Outages of the state store, and what is read from it on request.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

/// Safety rule 5: without the state store heartbeats are answered only for as
/// long as an unheard cancellation can still be honoured.
TEST(StateStoreOutage, LeaderStepsDownWhenItsLeaseEnds) {
  World world(11);
  world.submit(service(1, 2));
  world.run_until(40);
  world.stop_state_store();
  world.run_until(60);
  ASSERT_NE(world.leader(), nullptr);
  EXPECT_EQ(running_tasks(world, "job-1"), 2U);
  world.run_until(68);
  EXPECT_EQ(world.leader(), nullptr);
  world.restore_state_store();
  world.run_until(110);
  EXPECT_EQ(running_tasks(world, "job-1"), 2U);
  expect_starts_without_violations(world);
}

TEST(StateStoreOutage, PollsGetStatus503) {
  World world(17);
  world.submit(array(1, 1, 300));
  world.run_until(30);
  world.stop_state_store();
  const auto response = world.response_of(0, status_request("job-1"), 3);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 503);
  EXPECT_GT(response->retry_after_s, 0);
  EXPECT_TRUE(world.node(0)->ready()) << "all nodes see the same outage";
  world.restore_state_store();
  world.run_until(40);
}

TEST(FinalStates, AreReadFromStateStoreOnRequest) {
  World world(18);
  world.submit(array(1, 1, 1));
  world.run_until(60);
  world.crash(0, 0.1);
  world.crash(1, 0.1);
  world.crash(2, 0.1);
  world.run_until(70);
  EXPECT_TRUE(world.node(0)->mirror().jobs().empty()) << "recovery reads live records only";
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
}

}  // namespace
}  // namespace elmstall::test
