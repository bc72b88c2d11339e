/// \file
/// Controllers that reach their workers but not the state store or their peers, or the other
/// way round.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

/// A controller, first the leader and then a follower, reaches its workers, but neither the state
/// store nor the other controllers. A job is cancelled meanwhile.
TEST(IsolatedController, WorkersAreTakenOverByCancelDeadline) {
  for (const bool isolate_leader : {true, false}) {
    World world(36);
    auto job = array(1, 6, 1000);
    world.submit(job);
    world.run_until(45);
    ASSERT_EQ(placed_tasks(world, "job-1"), 6U);
    const auto lead = leader_index(world);
    const auto isolated = isolate_leader ? lead : (lead + 1) % 3;
    deny_state_store(world, isolated);
    world.network.cut_peer_links(isolated);
    world.cancel("job-1");
    world.run_until(90);
    EXPECT_NE(world.leader(), nullptr);
    EXPECT_NE(leader_index(world), isolated);
    world.poll("job-1");
    world.run_until(93);
    EXPECT_EQ(world.last_reported_state("job-1"), JobState::cancelled);
    world.submit(array(2, 2, 5));
    world.run_until(140);
    allow_state_store(world, isolated);
    world.network.restore_peer_links(isolated);
    for (int i = 0; i < 10; ++i) {
      world.poll("job-2");
      world.run_until(142 + i * 2);
    }
    EXPECT_EQ(world.last_reported_state("job-2"), JobState::done);
    expect_no_violations(world);
  }
}

/// Workers can't reach the leader; the other controllers forward their heartbeats to it.
TEST(IsolatedController, HeartbeatsAreForwardedToLeaderCutFromWorkers) {
  World world(15);
  world.submit(service(1, 2));
  world.run_until(40);
  const auto starts = world.rules.starts();
  world.network.cut_workers(leader_index(world));
  world.run_until(90);
  EXPECT_EQ(running_tasks(world, "job-1"), 2U);
  EXPECT_LE(world.rules.starts(), starts + 2);
  expect_starts_without_violations(world);
}

/// The leader is cut off from the state store and the other controllers while workers and users
/// still reach it, and a job is cancelled through another controller. A worker that has seen the
/// new term drops the former leader's responses, so the former leader must not keep it until its
/// lease ends.
TEST(IsolatedController, FormerLeaderReleasesWorkersThatSawNewTerm) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    World world(2300 + seed);
    world.cloud.capacity = 16;
    world.submit(array(1, 8, 3000));
    world.submit(array(2, 6, 3000));
    world.run_until(50);
    ASSERT_EQ(placed_tasks(world, "job-1"), 8U);
    ASSERT_EQ(placed_tasks(world, "job-2"), 6U);
    const auto isolated = leader_index(world);
    const auto starts = world.rules.starts();
    deny_state_store(world, isolated);
    world.network.cut_peer_links(isolated);
    world.run_until(56 + 0.3 * seed);
    ASSERT_TRUE(world.cancel_at((isolated + 1) % 3, "job-2"));
    world.run_until(100);
    EXPECT_EQ(world.rules.tasks_on_machines("job-2"), 0U);
    EXPECT_EQ(world.rules.tasks_on_machines("job-1"), 8U);
    EXPECT_EQ(world.rules.starts(), starts) << seed << ": a lease ended at the former leader";
    allow_state_store(world, isolated);
    world.network.restore_peer_links(isolated);
    world.run_until(120);
    EXPECT_EQ(poll_reported_state(world, "job-2"), JobState::cancelled);
    ASSERT_EQ(world.rules.first_violation(), "") << seed;
  }
}

/// A controller of a cut-off zone acts as delegate without a record. If it has seen a newer term
/// while its mirror is of the former one, it must not reply to heartbeats.
TEST(IsolatedController, NoDelegateRepliesUnderSupersededTerm) {
  for (const bool newer_term : {false, true}) {
    World world(2390);
    world.cloud.capacity = 20;
    world.submit(array_in("south", 1, 2, 3000));
    world.run_until(45);
    move_leadership_to_north(world);
    const auto* worker = worker_of(world, "job-1");
    ASSERT_NE(worker, nullptr);
    cut_all_workers(world);  // the test sends their heartbeats
    const auto term = leader_of(world).term() + (newer_term ? 1 : 0);
    world.cut_zone("south");
    world.node(1)->on_message(peer::Heartbeat{"node-0", term, "node-0", true, true, 0, 1e9});
    world.run_for(5);
    auto heartbeat = heartbeat_of(*worker, 1, 1, term << constants::kTokenFenceBits);
    const auto status_within = [&](double wait_s) {
      ++heartbeat.sequence;
      const auto response = world.response_of(1, heartbeat_request(heartbeat), wait_s);
      return response ? response->status : 0;
    };
    EXPECT_NE(status_within(4), 200);
    EXPECT_EQ(status_within(0.5) == 200, !newer_term)
        << "a returning worker gets a reply, unless it would drop it";
  }
}

}  // namespace
}  // namespace elmstall::test
