/// \file
/// A leader that does not know of a cancellation which another controller confirmed
/// (safety rule 5).
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

/// Whether the other controllers' messages reach the leader.
enum class PeerLinks { cut, connected };

/// The state store refuses only the leader, another controller confirms a cancellation
/// `cancel_after_s` later, and then the state store is down for longer than `cancel_s`, while the
/// workers continue to send heartbeats to the leader. With its peer links connected, the leader
/// learns of the cancellation from the controller that confirmed it. All workers hang for `hang_s`
/// from the confirmation on.
void cancel_while_leader_is_refused(unsigned seed, double cancel_after_s, PeerLinks links,
                                    double hang_s) {
  World world(seed, 3 + seed % 2);
  world.cloud.capacity = 16;
  world.set_clock_rate(0, kSlowestClock);
  world.crash(0, 0.01);
  world.submit(array(1, 8, 3000));
  world.submit(array(2, 4, 3000));
  world.run_until(50);
  slow_all_worker_clocks(world);
  ASSERT_EQ(placed_tasks(world, "job-1"), 8U);
  const auto lead = leader_index(world);
  const double refused_at = world.loop.now();
  if (links == PeerLinks::cut) world.network.cut_peer_links(lead);
  deny_state_store(world, lead);
  world.run_until(refused_at + cancel_after_s);
  ASSERT_TRUE(world.cancel_at((lead + 1) % world.node_count(), "job-1")) << cancel_after_s;
  const double confirmed_at = world.loop.now();
  if (hang_s > 0) {
    for (auto& [id, worker] : world.workers) worker->hang(hang_s);
  }
  world.run_until(refused_at + 1.5);
  world.stop_state_store();
  const double stop_deadline_s =
      links == PeerLinks::connected && hang_s <= 0 ? 5 : world.settings.cancel_s;
  world.run_until(confirmed_at + stop_deadline_s);
  EXPECT_EQ(world.rules.tasks_on_machines("job-1"), 0U) << cancel_after_s;
  world.run_until(refused_at + 75);
  world.restore_state_store();
  allow_state_store(world, lead);
  world.network.restore_peer_links(lead);
  world.run_until(refused_at + 130);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::cancelled) << cancel_after_s;
  EXPECT_EQ(placed_tasks(world, "job-2"), 4U) << cancel_after_s;
  ASSERT_EQ(world.rules.first_violation(), "") << cancel_after_s;
}

/// The leader is not told of the cancellation. It replies to heartbeats only until its lease W
/// ends, so the worker leases, and with them the tasks, end within `cancel_s`.
TEST(StaleLeader, TasksEndByCancelDeadlineWithoutPeerLinks) {
  for (int step = 0; step < 12; ++step)
    cancel_while_leader_is_refused(1000 + static_cast<unsigned>(step), 0.005 + step * 0.1,
                                   PeerLinks::cut, 0);
}

/// The worst case for `cancel_s`: the refusal begins at 50 points of the second between two read
/// indexes, the cancellation is confirmed within milliseconds, and the clocks of the controllers
/// and the workers are as slow as the protocol allows.
TEST(StaleLeader, CancelDeadlineHoldsWithSlowestClocks) {
  double longest_s = 0;
  for (int step = 0; step < 50; ++step) {
    World world(1050 + static_cast<unsigned>(step) % 3);
    for (std::size_t i = 0; i < 3; ++i) world.set_clock_rate(i, kSlowestClock);
    crash_all_nodes(world, 0.01);
    world.cloud.capacity = 12;
    world.submit(array(1, 16, 3000));
    world.run_until(50);
    slow_all_worker_clocks(world);
    const auto lead = leader_index(world);
    world.run_until(50 + 0.02 * step);
    world.network.cut_peer_links(lead);
    deny_state_store(world, lead);
    world.run_for(0.001);
    ASSERT_TRUE(world.cancel_at((lead + 1) % 3, "job-1", 0.02));
    const double confirmed_at = world.loop.now();
    world.stop_state_store();
    while (world.rules.tasks_on_machines("job-1") > 0 && world.loop.now() < confirmed_at + 60)
      world.run_for(0.01);
    longest_s = std::max(longest_s, world.loop.now() - confirmed_at);
    ASSERT_EQ(world.rules.first_violation(), "") << step;
  }
  // The deadline is nearly used up, so leases do not end earlier in an outage than necessary.
  EXPECT_GT(longest_s, 40 - constants::kLeaderLeaseMargin - 1);
  EXPECT_LE(longest_s, 40);
}

/// The controller that confirmed the cancellation notifies the leader, which stops the tasks
/// without waiting for a lease to end.
TEST(StaleLeader, NotifiedLeaderStopsTasksImmediately) {
  for (int step = 0; step < 12; ++step)
    cancel_while_leader_is_refused(1100 + static_cast<unsigned>(step), 0.005 + step * 0.1,
                                   PeerLinks::connected, 0);
}

/// Machines hang from the confirmation on and resume 1 to 9 s later.
TEST(StaleLeader, TasksOnHungMachinesEndByCancelDeadline) {
  for (int hang_s = 1; hang_s < 10; ++hang_s) {
    cancel_while_leader_is_refused(1200 + static_cast<unsigned>(hang_s), 0.3, PeerLinks::connected,
                                   hang_s);
    cancel_while_leader_is_refused(1220 + static_cast<unsigned>(hang_s), 0.3, PeerLinks::cut,
                                   hang_s);
  }
}

/// The leader freezes between the refusal and the outage and resumes with records that lack the
/// cancellation.
TEST(StaleLeader, FrozenLeaderRenewsNoWorkerLease) {
  for (int freeze_s = 2; freeze_s < 50; freeze_s += 4) {
    World world(1300 + static_cast<unsigned>(freeze_s));
    world.submit(array(1, 8, 3000));
    world.run_until(50);
    const auto lead = leader_index(world);
    deny_state_store(world, lead);
    world.run_until(50.4);
    ASSERT_TRUE(world.cancel_at((lead + 1) % 3, "job-1"));
    world.freeze(lead, freeze_s);
    world.run_until(51);
    world.stop_state_store();
    world.run_until(120);
    world.restore_state_store();
    allow_state_store(world, lead);
    world.run_until(170);
    EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::cancelled) << freeze_s;
    ASSERT_EQ(world.rules.first_violation(), "") << freeze_s;
  }
}

/// While command RPCs hang one after the other, a heartbeat reply that renews the worker's lease
/// also has to stop the cancelled tasks, which the lease would keep alive.
TEST(StaleLeader, HeartbeatReplyStopsCancelledTasksDuringCommandRpc) {
  World world(1400);
  world.submit(array(1, 4, 3000));
  world.run_until(45);
  world.network.command_rpcs_blocked = true;  // each command RPC fails after 2 s
  auto* worker = worker_of(world, "job-1");
  ASSERT_NE(worker, nullptr);
  auto& leader = leader_of(world);
  auto* machine = machine_of(world, *worker);
  ASSERT_TRUE(world.cancel_at(leader_index(world), "job-1", 0.05));
  for (int i = 0; i < 40 && !machine->rpc_in_flight; ++i) world.run_for(0.01);
  ASSERT_TRUE(machine->rpc_in_flight) << "no command RPC was sent";
  auto heartbeat = heartbeat_of(*worker, machine->epoch, machine->sequence + 100,
                                leader.token() + machine->fence);
  show_tasks(heartbeat, *machine, wire::TaskState::running, wire::EndCause::none);
  ASSERT_FALSE(heartbeat.tasks.empty());
  for (const int sequence_step : {0, 1}) {  // newer, then one that an RPC's reply overtook
    heartbeat.sequence -= static_cast<std::uint64_t>(sequence_step);
    machine->rpc_completed_at = world.loop.now();
    const auto response =
        world.response_of(leader_index(world), heartbeat_request(heartbeat), 0.05);
    ASSERT_TRUE(response);
    ASSERT_EQ(response->status, 200);
    const auto commands = commands_in(*response);
    EXPECT_EQ(commands.size(), heartbeat.tasks.size()) << sequence_step;
    for (const auto& command : commands) EXPECT_EQ(command.verb, wire::Verb::stop) << sequence_step;
  }
  world.network.command_rpcs_blocked = false;
  world.run_for(30);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::cancelled);
  expect_no_violations(world);
}

/// The state store refuses only the leader, whose peer links are cut too. It must not start tasks
/// of a job that was cancelled through another controller.
TEST(StaleLeader, NoTaskStartsOnOutdatedRecords) {
  World world(1410);
  world.cloud.capacity = 4;
  world.submit(array(1, 8, 8));
  world.run_until(15);
  world.network.command_rpcs_blocked = true;  // commands are sent in heartbeat replies
  world.submit(array(2, 8, 3000));
  while (placed_tasks(world, "job-2") == 0 && world.loop.now() < 60) world.run_for(0.05);
  auto* worker = worker_of(world, "job-2");
  ASSERT_NE(worker, nullptr);
  cut_all_workers(world);  // the test sends their heartbeats
  world.run_for(3);        // the tasks are recorded, and the command RPCs have failed
  const auto lead = leader_index(world);
  deny_state_store(world, lead);
  world.network.cut_peer_links(lead);
  const auto* machine = machine_of(world, *worker);
  const auto run_commands_received = [&] {
    auto heartbeat = heartbeat_of(*worker, machine->epoch, machine->sequence + 100,
                                  machine->fence + world.node(lead)->leader()->token());
    const auto response = world.response_of(lead, heartbeat_request(heartbeat), 0.05);
    if (!response || response->status != 200) return -1;
    const auto commands = commands_in(*response);
    return static_cast<int>(
        std::count_if(commands.begin(), commands.end(),
                      [](const auto& command) { return command.verb == wire::Verb::run; }));
  };
  EXPECT_GT(run_commands_received(), 0) << "the records were confirmed just now";
  ASSERT_TRUE(world.cancel_at((lead + 1) % 3, "job-2"));
  world.stop_state_store();
  world.run_for(5);
  EXPECT_EQ(run_commands_received(), 0) << "the worker lease may be renewed, but no task started";
}

/// In an outage that affects all controllers none of them can confirm a cancellation, so tasks that
/// are recorded may still start.
TEST(StaleLeader, RecordedTasksStartDuringOutageForAllNodes) {
  World world(1420);
  world.cloud.capacity = 4;
  world.submit(array(1, 8, 8));
  world.run_until(15);
  world.network.command_rpcs_blocked = true;
  world.submit(array(2, 8, 5));
  bool down = false;
  std::size_t starts = 0;
  for (double t = 15; t < 60; t += 0.05) {
    world.run_until(t);
    const auto* job = job_at_leader(world, "job-2");
    if (down || job == nullptr || job->on_machines == 0) continue;
    // The tasks are recorded, but no command reaches the machines for 6 s.
    drop_responses_to_all_workers(world);
    world.stop_state_store();
    down = true;
    starts = world.rules.starts();
    world.run_until(t += 6);
    deliver_responses_to_all_workers(world);
  }
  ASSERT_TRUE(down);
  EXPECT_GT(world.rules.starts(), starts)
      << "the records are too old for a start, but no controller can have confirmed a cancellation";
  expect_no_violations(world);
}

}  // namespace
}  // namespace elmstall::test
