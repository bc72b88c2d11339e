/// \file
/// Outages of the state store, and records that are read from it on request.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

/// Safety rule 5: without the state store a leader replies to heartbeats only for as long as a
/// cancellation that it has not learned of can still take effect within `cancel_s`.
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

/// During an outage polls get 503 instead of a state that may be outdated.
TEST(StateStoreOutage, PollsGetStatus503) {
  World world(17);
  world.submit(array(1, 1, 300));
  world.run_until(30);
  world.stop_state_store();
  const auto response = world.response_of(0, status_request("job-1"), 3);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 503);
  EXPECT_GT(response->retry_after_s, 0);
  EXPECT_TRUE(world.node(0)->ready()) << "a node stays ready in an outage that affects all nodes";
  world.restore_state_store();
  world.run_until(40);
}

/// Restarted nodes load only the records of live jobs; the final state of an ended job is read when
/// a user polls it.
TEST(FinalStates, AreReadFromStateStoreOnRequest) {
  World world(18);
  world.submit(array(1, 1, 1));
  world.run_until(60);
  world.crash(0, 0.1);
  world.crash(1, 0.1);
  world.crash(2, 0.1);
  world.run_until(70);
  EXPECT_TRUE(world.node(0)->mirror().jobs().empty()) << "ended jobs were loaded";
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
}

}  // namespace
}  // namespace elmstall::test
