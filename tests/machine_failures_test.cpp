/// \file
/// Machines that die, hang, fail tasks, or lose messages in one or both directions.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

/// Guards against tasks that are lost with a machine that is returned too early: a page of the
/// cloud's list that announces more and has no entry once passed for the end of the list, and a
/// silent machine that is not listed is returned before its lease ends.
TEST(SilentMachine, IsNotTakenForUnlistedWhenAPageOfTheListIsEmpty) {
  World world(36);
  world.submit(array(1, 8, 300));
  world.run_until(40);
  auto* worker = worker_of(world, "job-1");
  ASSERT_NE(worker, nullptr);
  world.cloud.empty_pages = true;
  world.run_for(8);
  worker->cut = true;
  world.run_for(12);
  worker->cut = false;
  EXPECT_FALSE(worker->dead());
  const auto* machine = machine_of(world, *worker);
  ASSERT_NE(machine, nullptr);
  EXPECT_FALSE(machine->terminating);
  expect_no_violations(world);
}

TEST(UnresponsiveMachine, TasksMoveAndNoNewTasksAreAssignedUntilItRecovers) {
  World world(34);
  world.submit(array(1, 4, 300));
  world.run_until(40);
  auto* worker = worker_of(world, "job-1");
  ASSERT_NE(worker, nullptr);
  worker->responses_dropped = true;
  world.run_until(67);  // its lease has expired, and so has the next one
  auto* machine = machine_of(world, *worker);
  ASSERT_NE(machine, nullptr);
  EXPECT_TRUE(machine->unresponsive);
  EXPECT_TRUE(machine->tasks.empty());
  EXPECT_EQ(placed_tasks(world, "job-1"), 4U) << "elsewhere";
  world.submit(array(2, 8, 300));
  world.run_until(75);
  EXPECT_TRUE(machine->tasks.empty()) << "no new work for an unresponsive machine";
  worker->responses_dropped = false;
  world.run_until(84);
  EXPECT_FALSE(machine->unresponsive);
  world.submit(array(3, 12, 300));
  world.run_until(95);
  EXPECT_FALSE(machine->tasks.empty()) << "used again";
  expect_no_violations(world);
}

TEST(UnresponsiveMachine, IsReturnedIfItDoesNotRecover) {
  World world(35);
  world.cloud.capacity = 4;
  world.submit(array(1, 8, 500));
  world.run_until(40);
  auto* worker = worker_of(world, "job-1");
  ASSERT_NE(worker, nullptr);
  worker->responses_dropped = true;
  world.run_until(110);
  EXPECT_TRUE(worker->dead());
  world.run_until(150);
  EXPECT_EQ(placed_tasks(world, "job-1"), 8U);
  expect_no_violations(world);
}

/// The retirement of a machine once failed while any zone had a delegate, and with it the whole
/// commit that contained it: no start or end of a task was recorded in any zone for as long as one
/// zone was cut off.
TEST(DeadMachine, IsGivenUpWhileAnotherZoneHasADelegate) {
  World world(43);
  world.cloud.capacity = 20;
  world.submit(array_in("north", 1, 5, 2000));
  world.submit(array_in("south", 2, 4, 2000));
  world.run_until(45);
  ASSERT_EQ(placed_tasks(world, "job-1"), 5U);
  ASSERT_EQ(placed_tasks(world, "job-2"), 4U);
  move_leadership_to_north(world);
  world.network.cut_peer_links(1);  // the only controller of the south
  world.run_until(60);
  ASSERT_FALSE(world.leader()->mirror().delegations().empty()) << "the south has a delegate";
  world.cloud.down = true;  // so the cloud can't confirm that the machine is gone
  auto* dead = worker_of(world, "job-1");
  ASSERT_NE(dead, nullptr);
  dead->die();
  world.submit(array_in("north", 3, 1, 20));  // ends after the dead machine's lease of 10 s
  world.run_until(95);
  ASSERT_FALSE(world.leader()->mirror().delegations().empty());
  auto* machine = machine_of(world, *dead);
  ASSERT_NE(machine, nullptr);
  EXPECT_TRUE(machine->tasks.empty()) << "given up";
  world.poll("job-3");
  world.run_until(97);
  EXPECT_EQ(world.last_reported_state("job-3"), JobState::done) << "other tasks are not affected";
  expect_no_violations(world);
}

/// Machines hang for less and for more than their lease while commands to them are pending.
TEST(HungMachine, ResumesWithoutRunningATaskTwice) {
  for (int length = 2; length < 32; length += 2) {
    World world(800 + static_cast<unsigned>(length));
    world.cloud.capacity = 16;
    world.submit(array(1, 8, 12));
    world.submit(array(2, 6, 25));
    world.run_until(18);
    for (auto& [id, worker] : world.workers) {
      if (world.random() < 0.6) worker->hang(length);
    }
    world.submit(array(3, 10, 10));
    world.run_until(20);
    world.cancel("job-2");
    world.run_until(160);
    poll_jobs(world, {"job-1", "job-2", "job-3"}, 3);
    EXPECT_EQ(world.last_reported_state("job-1"), JobState::done) << length;
    EXPECT_EQ(world.last_reported_state("job-2"), JobState::cancelled) << length;
    EXPECT_EQ(world.last_reported_state("job-3"), JobState::done) << length;
    ASSERT_EQ(world.rules.first_violation(), "") << length;
  }
}

/// Tasks on a disconnected machine are known to be gone when its lease has expired, and not before
/// (rule 6).
TEST(DisconnectedMachine, TasksStartElsewhereAfterItsLease) {
  World world(12);
  world.submit(array(1, 6, 60));
  world.run_until(30);
  ASSERT_FALSE(world.workers.empty());
  for (auto& [id, worker] : world.workers) {
    if (!worker->dead()) {
      worker->cut = true;
      break;
    }
  }
  world.run_until(200);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
  expect_starts_without_violations(world);
}

TEST(FaultyMachine, IsQuarantinedWhenTasksOfSeveralJobsFail) {
  World world(16);
  for (int i = 1; i <= 4; ++i) world.submit(array(i, 3, 4));
  world.run_until(16);
  ASSERT_FALSE(world.workers.empty());
  world.workers.begin()->second->task_failure_share = 1;
  world.run_until(150);
  for (int i = 1; i <= 4; ++i) world.poll("job-" + std::to_string(i));
  world.run_until(152);
  for (int i = 1; i <= 4; ++i)
    EXPECT_EQ(world.last_reported_state("job-" + std::to_string(i)), JobState::done);
  expect_starts_without_violations(world);
}

/// The machine's heartbeats reach no controller, while direct commands reach the machine. A reply
/// to a command once counted as a heartbeat, and tasks started there ended when the lease expired.
TEST(LostHeartbeats, NoTaskStartsOnAMachineWithoutHeartbeats) {
  World world(1700);
  world.cloud.capacity = 2;
  world.submit(array(1, 3, 3000));  // leaves one slot free on one machine
  world.run_until(45);
  ASSERT_EQ(placed_tasks(world, "job-1"), 3U);
  auto& machines = leader_model(world).machines();
  const auto found = std::find_if(machines.begin(), machines.end(), [](const auto& entry) {
    return entry.second->tasks.size() == 1;
  });
  ASSERT_NE(found, machines.end());
  const auto* machine = found->second.get();
  auto* worker = world.workers.at(machine->id).get();
  worker->heartbeats_dropped = true;
  world.cloud.down = true;  // so the machine can't be returned yet
  const double dropped_at = world.loop.now();
  // Each job is started and then cancelled, which sends direct commands to the machine.
  for (int i = 2; i < 10; ++i) {
    auto job = array(i, 1, 3000);
    job.image_gb = 0;
    world.submit(job);
    world.run_until(dropped_at + 2 * i - 2.5);
    const bool on_machine = std::any_of(machine->tasks.begin(), machine->tasks.end(),
                                        [&](const auto* task) { return task->job->id == job.id; });
    EXPECT_FALSE(on_machine && world.loop.now() > dropped_at + 11)
        << "seconds without a heartbeat: " << world.loop.now() - dropped_at;
    world.cancel(job.id);
    world.run_until(dropped_at + 2 * i - 1.5);
  }
  world.cloud.down = false;
  world.run_until(dropped_at + 60);
  EXPECT_TRUE(worker->dead()) << "returned, as it does not recover";
  EXPECT_EQ(placed_tasks(world, "job-1"), 3U);
  expect_no_violations(world);
}

/// Commands are still sent to machines whose heartbeats are lost. If many machines lose their
/// heartbeats at once, a network partition is assumed, and they are kept.
TEST(LostHeartbeats, CancelledTasksEndAndMachinesAreKeptWhenManyAreAffected) {
  World world(1710);
  world.cloud.capacity = 8;
  world.submit(array(1, 8, 3000));
  world.run_until(45);
  std::vector<FakeWorker*> affected;
  for (auto& [id, worker] : world.workers) {
    worker->heartbeats_dropped = true;
    if (!worker->dead()) affected.push_back(worker.get());
  }
  world.run_until(47);
  ASSERT_TRUE(world.cancel_at(leader_index(world), "job-1"));
  world.run_until(50);
  EXPECT_EQ(world.rules.tasks_on_machines("job-1"), 0U);
  world.run_until(70);
  for (auto* worker : affected) {
    EXPECT_FALSE(worker->dead()) << "machines that are affected together are kept";
    worker->heartbeats_dropped = false;
  }
  world.submit(array(2, 8, 10));
  world.run_until(140);
  EXPECT_EQ(poll_reported_state(world, "job-2"), JobState::done);
  expect_no_violations(world);
}

}  // namespace
}  // namespace elmstall::test
