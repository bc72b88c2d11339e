/// \file
/// Which tasks count towards the limit of a team (rule 7).
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

/// Tasks that may be on unreachable machines count towards the limit (rule 7).
TEST(TeamLimit, CountsTasksOnUnsynchronizedMachines) {
  World world(22);
  auto first = array(1, 8, 500);
  first.team = "red";  // at most 8 GPUs
  world.submit(first);
  world.run_until(45);
  ASSERT_EQ(running_tasks(world, "job-1"), 8U);
  cut_all_workers(world);
  world.crash(leader_index(world), 30);
  auto second = array(2, 2, 5);
  second.team = "red";
  world.submit(second);
  world.run_until(52);
  ASSERT_NE(world.leader(), nullptr);
  auto& model = leader_model(world);
  EXPECT_DOUBLE_EQ(model.usage("red").gpus, 8);
  EXPECT_EQ(model.job("job-2")->on_machines, 0U);
  world.run_until(120);
  expect_starts_without_violations(world);
}

/// The leader changes while some of the team's machines are unreachable, and a job of the team is
/// cancelled meanwhile. Tasks that may still be on those machines count.
TEST(TeamLimit, CountsTasksOnUnreachableMachinesAfterATakeover) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    World world(2200 + seed);
    world.cloud.capacity = 12;
    auto first = array(1, 8, 3000);
    first.team = "red";  // at most 8 GPUs
    auto second = array(2, 8, 30);
    second.team = "red";
    world.submit(first);
    world.run_until(45);
    ASSERT_EQ(placed_tasks(world, "job-1"), 8U);
    world.submit(second);
    world.run_until(46);
    int index = 0;
    for (auto& [id, worker] : world.workers) {
      worker->cut = index++ % 2 == 0;
      if (seed % 3 == 0) worker->responses_dropped = !worker->cut;
    }
    world.crash(leader_index(world), seed % 2 == 0 ? 0.2 : 8);
    world.run_until(46.5 + 0.5 * seed);
    world.cancel("job-1");
    world.run_until(70);
    reconnect_all_workers(world);
    deliver_responses_to_all_workers(world);
    world.run_until(180);
    EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::cancelled) << seed;
    EXPECT_EQ(poll_reported_state(world, "job-2"), JobState::done) << seed;
    ASSERT_EQ(world.rules.first_violation(), "") << seed;
  }
}

/// A task that a heartbeat reports on a machine where the records do not place it counts for its
/// team until it is gone.
TEST(TeamLimit, CountsUnrecordedTasksOfKnownJobs) {
  World world(2220);
  auto job = array(1, 6, 3000);
  job.team = "red";
  world.submit(job);
  world.run_until(45);
  ASSERT_EQ(placed_tasks(world, "job-1"), 6U);
  auto& leader = leader_of(world);
  wire::WorkerHeartbeat heartbeat{"host-999999",  "",           "m12", "north", true, 1, 1,
                                  leader.token(), std::nullopt, {}};
  for (std::uint32_t i = 0; i < 2; ++i)
    heartbeat.tasks.push_back(
        {"job-1", i, 77, wire::TaskState::running, wire::EndCause::none, false});
  const auto send = [&] {
    return world.response_of(leader_index(world), heartbeat_request(heartbeat), 0.2);
  };
  ASSERT_TRUE(send());
  EXPECT_DOUBLE_EQ(leader.model().usage("red").gpus, 8);
  ++heartbeat.sequence;
  ASSERT_TRUE(send());
  EXPECT_DOUBLE_EQ(leader.model().usage("red").gpus, 8) << "counted once";
  ++heartbeat.sequence;
  heartbeat.tasks.clear();
  ASSERT_TRUE(send());
  EXPECT_DOUBLE_EQ(leader.model().usage("red").gpus, 6);
}

/// A block refers to a machine without a record, as the end of the machine was written before the
/// block. Its tasks once counted for their team for ever, and a cancelled job never ended.
TEST(TeamLimit, DoesNotCountTasksOnDeletedMachines) {
  World world(2230);
  auto job = array(1, 8, 3000);
  job.team = "red";
  world.cloud.capacity = 0;
  world.submit(job);
  world.run_until(5);
  store::BlockRecord record;
  record.done.assign(8, false);
  for (std::uint32_t i = 0; i < 8; ++i) record.tasks.push_back({i, 1, "host-gone"});
  std::vector<std::string> blocks{store::pack(store::BlockEntry{"job-1", 0, record}).bytes};
  wire::Transaction transaction;
  transaction.writes = {{store::slot_key(0), store::encode_slot(1'000, blocks, {}), 0}};
  crash_all_nodes(world, 0.3);
  ASSERT_EQ(world.state.commit(transaction).outcome, store::Outcome::ok);
  world.run_until(12);
  world.cloud.capacity = 12;
  world.run_until(70);
  EXPECT_EQ(world.rules.tasks_on_machines("job-1"), 8U) << "started in a second attempt";
  world.cancel("job-1");
  world.run_until(85);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::cancelled);
  EXPECT_TRUE(world.state.items().contains(store::final_key("job-1")));
  expect_no_violations(world);
}

}  // namespace
}  // namespace elmstall::test
