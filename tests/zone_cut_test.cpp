/// \file
/// Zones that are partitioned from each other (`ZonePartition`), or also from the state store
/// (`ZoneCut`).
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

/// For a world of four controllers, two in each zone: starts a job in each zone; the leader is in
/// the north.
void start_in_both_zones(World& world) {
  world.cloud.capacity = 30;
  world.submit(array_in("north", 1, 4, 3000));
  world.submit(array_in("south", 2, 4, 3000));
  world.run_until(45);
  move_leadership_to_north(world);
  ASSERT_EQ(placed_tasks(world, "job-1"), 4U);
  ASSERT_EQ(placed_tasks(world, "job-2"), 4U);
}

/// Starts a job in the south; the leader is in the north.
void start_in_south(World& world) {
  world.cloud.capacity = 20;
  world.submit(array_in("south", 1, 2, 3000));
  world.run_until(45);
  move_leadership_to_north(world);
}

/// A zone that is also cut off from the state store can't record a delegation. Its controllers
/// renew the worker leases without one until the leader lease W ends, so the tasks survive a cut of
/// 30 s.
TEST(ZoneCut, TasksOutliveLeaderLeaseAndWorkerLease) {
  World world(45, 4);
  start_in_both_zones(world);
  const auto starts = world.rules.starts();
  const double cut_at = world.loop.now();
  world.cut_zone("south");
  world.run_until(cut_at + 30);  // W is 28.5 s, the lease 10 s
  EXPECT_EQ(placed_tasks(world, "job-2"), 4U) << "the leader gave tasks up";
  world.restore_zone("south");
  world.run_until(cut_at + 60);
  EXPECT_EQ(placed_tasks(world, "job-2"), 4U);
  EXPECT_EQ(world.rules.starts(), starts) << "a task was started again";
  expect_no_violations(world);
}

/// The only controller of a zone can't tell whether the whole zone is cut off or only itself. It
/// refuses a worker first, and replies when the worker returns, having found no other controller.
TEST(ZoneCut, OnlyControllerOfZoneRepliesToReturningWorker) {
  World world(47);
  start_in_south(world);
  auto* worker = worker_of(world, "job-1");
  ASSERT_NE(worker, nullptr);
  const auto heartbeat = heartbeat_of(*worker, 1, 1, leader_of(world).token());
  worker->cut = true;  // the test sends its heartbeats
  world.cut_zone("south");
  world.run_for(5);
  const auto status_within = [&](double wait_s) {
    const auto response = world.response_of(1, heartbeat_request(heartbeat), wait_s);
    return response ? response->status : 0;
  };
  EXPECT_EQ(status_within(4), 503);
  EXPECT_EQ(status_within(0.1), 200);
  world.run_for(25);
  EXPECT_NE(status_within(4), 200) << "replied after the leader lease W";
  expect_no_violations(world);
}

/// A longer cut ends the tasks in the zone. The leader starts them again only when they have
/// certainly ended, whenever the cut ends, and also if a controller in the zone crashes or a job is
/// cancelled during the cut.
TEST(ZoneCut, TasksRestartOnlyAfterTheyEndedInTheZone) {
  for (int cut_s = 24; cut_s < 90; cut_s += 6) {
    World world(700 + static_cast<unsigned>(cut_s), 4);
    start_in_both_zones(world);
    auto any_zone_job = array(3, 6, 3000);  // may run in either zone
    world.submit(any_zone_job);
    world.run_for(30);
    const double cut_at = world.loop.now();
    world.cut_zone("south");
    world.run_until(cut_at + 10);
    if (cut_s % 4 == 0) world.crash(1, 0.2);
    if (cut_s % 12 == 0) world.cancel("job-3");
    world.run_until(cut_at + cut_s);
    world.restore_zone("south");
    world.run_until(cut_at + 130);
    EXPECT_EQ(placed_tasks(world, "job-2"), 4U) << cut_s;
    EXPECT_EQ(placed_tasks(world, "job-3"), cut_s % 12 == 0 ? 0U : 6U) << cut_s;
    ASSERT_EQ(world.rules.first_violation(), "") << cut_s;
  }
}

/// The leader gives up a dead machine when its worker lease ends. It reaches all controllers of the
/// zone, so none of them can have renewed the lease as delegate, and it need not wait for W.
TEST(ZoneCut, DeadMachineIsGivenUpAfterItsWorkerLease) {
  World world(46, 4);
  start_in_both_zones(world);
  world.cloud.down = true;
  auto* dead = worker_of(world, "job-2");
  ASSERT_NE(dead, nullptr);
  dead->die();
  world.run_for(13.5);  // worker lease 10 s, heartbeat interval 0.8 s
  EXPECT_TRUE(machine_of(world, *dead)->tasks.empty());
  expect_no_violations(world);
}

/// The zones are partitioned for longer than a worker lease; the zone delegate renews the leases.
TEST(ZonePartition, DelegateRenewsWorkerLeases) {
  World world(13);
  world.submit(service(1, 4));
  world.run_until(40);
  ASSERT_EQ(running_tasks(world, "job-1"), 4U);
  const auto starts = world.rules.starts();
  world.network.partition_zones();
  world.run_until(70);
  world.network.heal_partition();
  world.run_until(90);
  EXPECT_EQ(running_tasks(world, "job-1"), 4U);
  EXPECT_EQ(world.rules.starts(), starts) << "a replica was lost in the partition";
  expect_starts_without_violations(world);
}

/// The zone delegate stops the tasks of a job that is cancelled during the partition.
TEST(ZonePartition, DelegateStopsCancelledTasks) {
  World world(14);
  world.submit(service(1, 4));
  world.run_until(40);
  world.network.partition_zones();
  world.run_until(50);
  world.cancel("job-1");
  world.run_until(95);  // the rules require that no task is left after 40 s
  world.network.heal_partition();
  world.run_until(110);
  expect_starts_without_violations(world);
}

/// A job with tasks in the zone is cancelled outside during a cut, of which the controllers and
/// workers in the zone can't learn. The tasks end when their leases do.
TEST(ZoneCut, TasksCancelledOutsideEndByCancelDeadline) {
  for (int cut_s = 8; cut_s < 80; cut_s += 6) {
    World world(2900 + static_cast<unsigned>(cut_s), 4);
    world.cloud.capacity = 30;
    world.submit(array_in("south", 1, 4, 3000));
    world.submit(array_in("north", 2, 4, 3000));
    world.run_until(45);
    if (cut_s % 4 == 0) move_leadership_to_north(world);
    const double cut_at = world.loop.now();
    world.cut_zone("south");
    world.run_until(cut_at + 1 + cut_s % 5);
    ASSERT_TRUE(world.cancel_at(0, "job-1", 5) || world.cancel_at(2, "job-1", 5));
    world.run_until(cut_at + cut_s);
    world.restore_zone("south");
    world.run_until(cut_at + 150);
    EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::cancelled) << cut_s;
    EXPECT_EQ(placed_tasks(world, "job-2"), 4U) << cut_s;
    ASSERT_EQ(world.rules.first_violation(), "") << cut_s;
  }
}

/// The transaction of an abandoned delegation is applied after that of the next one. It must not
/// attach the record to the abandoned lease, which is not renewed.
TEST(ZonePartition, DelayedDelegationDoesNotReplaceNewerOne) {
  World world(2990);
  start_in_south(world);
  const auto* worker = worker_of(world, "job-1");
  ASSERT_NE(worker, nullptr);
  cut_all_workers(world);  // the test sends their heartbeats
  auto heartbeat = heartbeat_of(*worker, 1, 1000, leader_of(world).token());
  const auto send = [&] {
    ++heartbeat.sequence;
    world.send_to_node(1, heartbeat_request(heartbeat), [](const net::Response&) {});
  };
  world.network.partition_zones();
  world.run_for(3);
  // The first attempt gets no response, and is applied after the second has written its record.
  world.store(1).faults = {false, 0, 0, 1, 3.6};
  send();
  world.run_for(1.7);
  world.store(1).faults = {};
  send();
  world.run_for(0.1);
  const auto delegation = store::delegation_key("node-1");
  ASSERT_TRUE(world.state.items().contains(delegation));
  for (int i = 0; i < 60; ++i) {
    world.run_for(0.1);
    ASSERT_TRUE(world.state.items().contains(delegation))
        << "the record of an active delegate is gone";
  }
}

}  // namespace
}  // namespace elmstall::test
