/// \file
/// Jobs of each kind from submission to completion, without faults or with machine losses.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

TEST(Scheduling, RunsAnArrayOfSeveralBlocksToItsEnd) {
  World world(1);
  world.submit(array(1, 60, 2));
  world.run_until(200);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
  expect_starts_without_violations(world);
  // Only the final record of the job is left.
  ASSERT_NE(world.leader(), nullptr);
  EXPECT_EQ(world.leader()->mirror().blocks("job-1"), nullptr);
  EXPECT_TRUE(world.state.items().contains(store::final_key("job-1")));
  EXPECT_FALSE(world.state.items().contains(store::job_key("job-1")));
}

TEST(Scheduling, AServiceRunsInBothZonesUntilItIsCancelled) {
  World world(2);
  world.submit(service(1, 4));
  world.run_until(60);
  EXPECT_EQ(running_tasks(world, "job-1"), 4U);
  world.cancel("job-1");
  world.run_until(75);
  EXPECT_EQ(running_tasks(world, "job-1"), 0U);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::cancelled);
  expect_starts_without_violations(world);
}

TEST(Scheduling, AGangStartsWholeOrNotAtAll) {
  World world(3);
  auto gang = array(1, 4);
  gang.kind = wire::JobKind::gang;
  world.submit(gang);
  std::size_t max_running = 0;
  for (double t = 1; t < 60; t += 0.5) {
    world.run_until(t);
    const auto now = running_tasks(world, "job-1");
    max_running = std::max(max_running, now);
  }
  EXPECT_EQ(max_running, 4U);
  expect_starts_without_violations(world);
}

TEST(Scheduling, HigherPriorityPreemptsLower) {
  World world(4);
  world.cloud.capacity = 2;
  auto low = array(1, 4, 500);
  low.priority = wire::Priority::idle;
  low.spot = false;
  world.submit(low);
  world.run_until(40);
  EXPECT_EQ(running_tasks(world, "job-1"), 4U);
  world.submit(service_in_any_zone(2, 2));
  world.run_until(55);
  EXPECT_EQ(running_tasks(world, "job-2"), 2U);
  EXPECT_EQ(running_tasks(world, "job-1"), 2U);
  expect_starts_without_violations(world);
}

/// Guards against a livelock: an idle job within its team's guarantee and a high-priority job of
/// another team preempted each other with every commit.
TEST(Scheduling, PriorityAndGuaranteeDoNotPreemptEachOtherRepeatedly) {
  World world(21);
  world.cloud.capacity = 2;
  auto guaranteed = array(1, 4, 300);
  guaranteed.team = "red";  // 4 GPUs guaranteed
  guaranteed.priority = wire::Priority::idle;
  auto urgent = array(2, 4, 300);
  urgent.priority = wire::Priority::high;
  world.submit(urgent);
  world.run_until(30);
  EXPECT_EQ(running_tasks(world, "job-2"), 4U);
  world.submit(guaranteed);
  world.run_until(50);
  EXPECT_EQ(running_tasks(world, "job-1"), 4U);
  const auto before = world.state.revision();
  world.run_until(80);
  EXPECT_LT(world.state.revision(), before + 20);
  expect_starts_without_violations(world);
}

TEST(Scheduling, TasksAboveTheTeamLimitWait) {
  World world(5);
  auto job = array(1, 12, 20);
  job.team = "red";  // at most 8 GPUs
  world.submit(job);
  std::size_t max_running = 0;
  for (double t = 1; t < 60; ++t) {
    world.run_until(t);
    max_running = std::max(max_running, running_tasks(world, "job-1"));
  }
  EXPECT_EQ(max_running, 8U);
  world.run_until(150);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
  expect_starts_without_violations(world);
}

TEST(Scheduling, JobsThatCanNeverRunAreRejected) {
  World world(6);
  world.run_until(2);
  auto job = array(1, 1);
  job.cpus = 100;
  world.submit(job);
  auto unknown_team = array(2, 1);
  unknown_team.team = "nobody";
  world.submit(unknown_team);
  auto too_many = service(3, 20);
  too_many.team = "red";
  world.submit(too_many);
  world.run_until(5);
  EXPECT_EQ(world.rules.accepted(), 0U);
}

TEST(Scheduling, ResubmissionUnderAKnownIdGetsTheSameAnswer) {
  World world(7);
  world.run_until(2);
  world.submit(array(1, 2));
  world.run_until(60);
  auto other = array(1, 2);
  other.team = "nobody";  // would be rejected under a new id
  world.submit(other);
  world.run_until(65);
  expect_no_violations(world);
}

TEST(LargeJobs, AreAcceptedWithFewWritesAndStartAsCapacityAllows) {
  World world(19);
  world.run_until(2);
  const auto before = world.state.revision();
  world.submit(array(1, 100'000, 2));
  world.run_until(2.1);
  EXPECT_EQ(world.rules.accepted(), 1U);
  EXPECT_LE(world.state.revision(), before + 4);
  world.run_until(60);
  EXPECT_GT(running_tasks(world, "job-1"), 2U);
  ASSERT_NE(world.leader(), nullptr);
  EXPECT_LT(leader_model(world).job("job-1")->blocks.size(), 200U);
  expect_starts_without_violations(world);
}

/// Services and arrays with zone rules lose machines while replies to commands are lost. A task
/// that may still be on a machine counts in the machine's zone until it is certainly gone.
TEST(ZoneBoundWork, IsPlacedByItsZoneRulesAfterMachineLosses) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    World world(2100 + seed, 4);
    world.cloud.capacity = 30;
    world.submit(array_in("north", 1, 5, 3000));
    world.submit(service(2, 5));
    auto together = array(3, 4, 3000);
    together.together = true;
    world.submit(together);
    auto bound = service_in_any_zone(4, 3);
    bound.zone = "south";
    world.submit(bound);
    world.run_until(60);
    for (int round = 0; round < 6; ++round) {
      for (auto& [id, worker] : world.workers) {
        if (worker->dead()) continue;
        const double chance = world.random();
        if (chance < 0.25)
          worker->die();
        else if (chance < 0.4)
          worker->hang(20 * world.random());
        else if (chance < 0.5)
          worker->cut = true;
      }
      world.network.command_replies_lost = round % 2 == 0;
      if (round == 3) world.crash(leader_index(world), 0.3);
      world.run_for(7);
      reconnect_all_workers(world);
      world.cloud.capacity = 30;
    }
    world.network.command_replies_lost = false;
    world.run_for(120);
    for (const auto& [id, tasks] : std::map<std::string, std::size_t>{
             {"job-1", 5}, {"job-2", 5}, {"job-3", 4}, {"job-4", 3}}) {
      EXPECT_EQ(placed_tasks(world, id), tasks) << seed << " " << id;
    }
    ASSERT_EQ(world.rules.first_violation(), "") << seed;
  }
}

/// The zone of a machine never changes. A heartbeat with another zone once subtracted the machine's
/// tasks from the count of a zone in which they had never been counted.
TEST(ZoneBoundWork, HeartbeatWithAWrongZoneChangesNoCount) {
  World world(2150);
  world.submit(service(1, 4));
  world.run_until(60);
  ASSERT_EQ(placed_tasks(world, "job-1"), 4U);
  auto* worker = worker_of(world, "job-1");
  auto& leader = leader_of(world);
  auto* machine = machine_of(world, *worker);
  const auto* job = leader.model().job("job-1");
  worker->cut = true;  // the test sends the heartbeats in its place
  auto heartbeat = heartbeat_of(*worker, machine->epoch, machine->sequence + 100,
                                leader.token() + machine->fence);
  heartbeat.zone = worker->zone() == "north" ? "south" : "north";
  show_tasks(heartbeat, *machine, wire::TaskState::ended, wire::EndCause::error);
  // Directly to the leader: its node would redirect the worker to the other zone.
  int status = 0;
  leader.on_heartbeat(heartbeat, [&](const net::Response& response) { status = response.status; });
  ASSERT_EQ(status, 200);
  std::size_t counted = 0;
  for (const auto& [zone, count] : job->per_zone) {
    ASSERT_LE(count, 4U) << zone;
    counted += count;
  }
  EXPECT_EQ(counted, job->on_machines);
  EXPECT_EQ(machine->zone, worker->zone());
}

}  // namespace
}  // namespace elmstall::test
