/// \file
/// Changes of the leader, and what the next leader reads from the records (safety rules 1, 2, 5 and
/// 10).
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

/// Safety rule 1: a new leader reads from the records on which machines tasks may be.
TEST(Takeover, TasksContinueUnderNextLeader) {
  World world(8);
  world.submit(service(1, 4));
  world.submit(array(2, 10, 20));
  world.run_until(40);
  const auto starts_before_crash = world.rules.starts();
  ASSERT_NE(world.leader(), nullptr);
  world.crash(leader_index(world), 8);
  world.run_until(46);
  ASSERT_NE(world.leader(), nullptr);
  world.run_until(50);
  EXPECT_EQ(running_tasks(world, "job-1"), 4U);
  EXPECT_GE(world.rules.starts(), starts_before_crash);
  world.run_until(150);
  EXPECT_EQ(poll_reported_state(world, "job-2"), JobState::done);
  expect_starts_without_violations(world);
}

/// Safety rule 10: a leader that restarts within 0.2 s wins the next term, without waiting for the
/// state lease of its previous incarnation to end.
TEST(Takeover, RestartedNodeReplacesItsPreviousIncarnation) {
  World world(9, 1);
  world.submit(service(1, 2));
  world.run_until(40);
  ASSERT_EQ(running_tasks(world, "job-1"), 2U);
  const auto term = leader_of(world).term();
  world.crash(0, 0.2);
  world.run_until(42);  // the old state lease has not ended yet
  ASSERT_NE(world.leader(), nullptr);
  EXPECT_EQ(leader_of(world).term(), term + 1);
  world.run_until(60);
  EXPECT_EQ(running_tasks(world, "job-1"), 2U);
  expect_starts_without_violations(world);
}

/// Safety rules 2 and 5: a leader that the state store refuses steps down as soon as it learns of a
/// higher term.
/// Guards against `ran_twice`: a value of the log without its blocks may be all that says which
/// tasks are on which machines, so nobody may lead without having read it.
TEST(Takeover, NoNodeLeadsWhileAValueOfTheLogCantBeRead) {
  World world(68);
  world.submit(array(1, 2, 400));
  world.run_until(40);
  const auto key = store::slot_key(99);
  const auto without_blocks = wire::Packer().map(2).key("n").integer(1).key("h").list(0).take();
  ASSERT_EQ(world.state.commit({{}, {{key, without_blocks, 0}}}).outcome, store::Outcome::ok);
  world.run_for(5);
  ASSERT_NE(world.leader(), nullptr) << "the leader has read all of the log before";
  crash_all_nodes(world, 1);
  world.run_for(20);
  EXPECT_EQ(world.leader(), nullptr);
  ASSERT_EQ(world.state.commit({{}, {{key, std::nullopt, 0}}}).outcome, store::Outcome::ok);
  world.run_for(20);
  EXPECT_NE(world.leader(), nullptr);
  expect_no_violations(world);
}

TEST(Takeover, LeaderWithoutStateStoreStepsDownOnHigherTerm) {
  World world(10);
  world.submit(service(1, 4));
  world.run_until(40);
  const auto former_leader = leader_index(world);
  deny_state_store(world, former_leader);
  world.run_until(46);
  EXPECT_EQ(world.node(former_leader)->leader(), nullptr);
  ASSERT_NE(world.leader(), nullptr);
  world.run_until(80);
  EXPECT_EQ(running_tasks(world, "job-1"), 4U);
  expect_starts_without_violations(world);
}

/// Jobs of two or three tasks, with takeovers between the ends of the jobs: tasks that completed
/// before a takeover stay completed and do not run again.
TEST(Takeover, CompletedTasksDoNotRunAgainAfterSuccessiveTakeovers) {
  for (int step = 0; step < 16; ++step) {
    World world(2400 + static_cast<unsigned>(step));
    world.cloud.capacity = 12;
    for (int i = 1; i <= 5; ++i)
      world.submit(array(i, 2 + static_cast<std::uint32_t>(i % 2), 12.0 * i));
    world.run_until(24 + 0.5 * step);
    world.crash(leader_index(world), step % 2 == 0 ? 0.1 : 7);
    world.run_until(34 + 0.5 * step);
    if (world.leader() != nullptr) world.crash(leader_index(world), 0.1);
    world.run_until(170);
    for (int i = 1; i <= 5; ++i)
      EXPECT_EQ(poll_reported_state(world, "job-" + std::to_string(i)), JobState::done) << step;
    ASSERT_EQ(world.rules.first_violation(), "") << step;
  }
}

/// Some of the takeovers fall into an outage of the state store. Each one restarts the wait for
/// silent machines; 90 s after the last one no task may be waiting.
TEST(Takeover, TasksRecoverAfterTenTakeoversInTwoMinutes) {
  for (unsigned seed = 1; seed <= 8; ++seed) {
    World world(2500 + seed);
    world.cloud.capacity = 12;
    world.submit(array(1, 8, 3000));
    world.submit(array(2, 6, 20));
    world.run_until(40);
    std::size_t dead_machines = 0;
    for (int takeover = 0; takeover < 10; ++takeover) {
      if (world.leader() != nullptr) world.crash(leader_index(world), takeover % 3 == 0 ? 0.1 : 6);
      if (takeover == 4 || takeover == 7) world.stop_state_store();
      if (takeover == 5 || takeover == 8) world.restore_state_store();
      if (takeover % 4 == 1) {
        auto* worker = worker_of(world, "job-1");
        if (worker != nullptr && dead_machines++ < 2) {
          worker->die();
          ++world.cloud.capacity;
        }
      }
      world.run_for(12);
    }
    const double faults_end = world.loop.now();
    while (world.loop.now() < faults_end + 90 &&
           (placed_tasks(world, "job-1") < 8 || world.rules.tasks_on_machines("job-1") < 8))
      world.run_for(1);
    EXPECT_LT(world.loop.now(), faults_end + 90) << seed;
    EXPECT_EQ(poll_reported_state(world, "job-2"), JobState::done) << seed;
    ASSERT_EQ(world.rules.first_violation(), "") << seed;
  }
}

/// The leader crashes while some machines with long tasks are unreachable, or don't receive the new
/// leader's responses.
TEST(Takeover, TasksRecoverOnMachinesUnreachableByNextLeader) {
  for (int outage_s = 4; outage_s < 70; outage_s += 6) {
    World world(2700 + static_cast<unsigned>(outage_s));
    world.cloud.capacity = 12;
    world.submit(array(1, 10, 3000));
    world.run_until(45);
    for (auto& [id, worker] : world.workers) {
      const double chance = world.random();
      worker->cut = chance < 0.3;
      worker->responses_dropped = chance >= 0.3 && chance < 0.5;
    }
    world.crash(leader_index(world), outage_s % 4 == 0 ? 0.1 : 8);
    world.run_until(46 + outage_s);
    reconnect_all_workers(world);
    deliver_responses_to_all_workers(world);
    world.cloud.capacity = 12;
    world.run_until(46 + outage_s + 90);
    EXPECT_EQ(world.rules.tasks_on_machines("job-1"), 10U) << outage_s;
    ASSERT_EQ(world.rules.first_violation(), "") << outage_s;
  }
}

}  // namespace
}  // namespace elmstall::test
