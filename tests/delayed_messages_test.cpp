/// \file
/// Heartbeats, commits and commands that arrive late or twice.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

/// Half of the heartbeats arrive a second time, seconds later and across takeovers.
TEST(DelayedHeartbeats, DuplicatesChangeNothing) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    World world(500 + seed);
    world.submit(array(1, 12, 25));
    world.submit(array(2, 6, 8));
    world.run_until(10);
    for (double t = 10; t < 160; t += 5) {
      for (auto& [id, worker] : world.workers) worker->duplicate_share = 0.5;
      if (static_cast<int>(t) % 40 == 30) world.crash(leader_index(world), 0.3);
      world.run_until(t);
    }
    for (const char* id : {"job-1", "job-2"}) world.poll(id);
    world.run_until(163);
    EXPECT_EQ(world.last_reported_state("job-1"), JobState::done) << seed;
    EXPECT_EQ(world.last_reported_state("job-2"), JobState::done) << seed;
    ASSERT_EQ(world.rules.first_violation(), "") << seed;
  }
}

/// Safety rules 3 and 6: a new leader receives delayed heartbeats of earlier epochs before any
/// current one of the machine. They do not show that tasks have ended.
TEST(DelayedHeartbeats, EarlierEpochsDoNotFreeTasks) {
  World world(20, 1);
  world.submit(service(1, 2));
  world.run_until(40);
  ASSERT_EQ(running_tasks(world, "job-1"), 2U);
  world.crash(0, 0.2);
  cut_all_workers(world);
  world.run_until(43);
  ASSERT_NE(world.leader(), nullptr);
  for (const std::uint64_t epoch : {1, 2}) {
    for (auto& [id, worker] : world.workers) {
      const wire::WorkerHeartbeat delayed{
          id, "", worker->type(), worker->zone(), worker->spot(), epoch, 1, 0, std::nullopt, {}};
      world.send_to_node(0, heartbeat_request(delayed), [](const net::Response&) {});
    }
    world.run_for(1);
  }
  EXPECT_EQ(leader_model(world).job("job-1")->on_machines, 2U);
  reconnect_all_workers(world);
  world.run_until(60);
  EXPECT_EQ(running_tasks(world, "job-1"), 2U);
  expect_starts_without_violations(world);
}

/// Copies of heartbeats are delayed by seconds to well over a worker lease, across takeovers. The
/// first heartbeat that a new leader receives from a machine may thus be of an earlier epoch or
/// list earlier attempts.
TEST(DelayedHeartbeats, EarlierAttemptsDoNotAffectCurrentTasks) {
  for (int delay_s = 2; delay_s < 40; delay_s += 4) {
    World world(2600 + static_cast<unsigned>(delay_s));
    world.cloud.capacity = 10;
    world.submit(array(1, 8, 25));
    world.submit(array(2, 8, 3000));
    world.run_until(25);
    for (auto& [id, worker] : world.workers) {
      worker->duplicate_share = 1;
      worker->duplicate_delay_s = delay_s;
    }
    world.run_until(30);
    // Some workers lose their lease, and their tasks start again in a later epoch.
    for (auto& [id, worker] : world.workers) worker->cut = world.random() < 0.4;
    world.run_until(43);
    reconnect_all_workers(world);
    world.crash(leader_index(world), 0.1);
    world.run_until(50);
    world.cancel("job-2");
    world.crash(leader_index(world), delay_s % 8 == 2 ? 0.1 : 6);
    world.run_until(190);
    EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done) << delay_s;
    EXPECT_EQ(poll_reported_state(world, "job-2"), JobState::cancelled) << delay_s;
    ASSERT_EQ(world.rules.first_violation(), "") << delay_s;
  }
}

/// Commits get no response and are applied after newer ones of the same controller.
TEST(DelayedCommits, DoNotOverwriteNewerCommits) {
  for (unsigned seed = 1; seed <= 16; ++seed) {
    World world(1800 + seed);
    world.run_until(2);
    delay_writes_of_all_nodes(world, 0.3);
    for (int i = 1; i <= 8; ++i) {
      world.submit(array(i, 1 + static_cast<std::uint32_t>(i % 4), 6));
      world.run_until(2 + i * 3);
    }
    world.cancel("job-2");
    world.cancel("job-5");
    if (seed % 2 == 0) world.crash(leader_index(world), 0.2);
    world.run_until(70);
    delay_writes_of_all_nodes(world, 0);
    world.run_until(180);
    for (int i = 1; i <= 8; ++i) {
      const auto id = "job-" + std::to_string(i);
      const auto state = poll_reported_state(world, id);
      EXPECT_TRUE(state == JobState::done || state == JobState::cancelled) << seed << " " << id;
    }
    ASSERT_EQ(world.rules.first_violation(), "") << seed;
  }
}

/// The transaction of an abandoned candidacy is applied after all, when the next candidacy already
/// has a lease. The leader must renew the lease to which its record is attached, and stay leader.
TEST(DelayedCommits, LeaderRenewsLeaseOfItsDelayedCandidacy) {
  std::size_t late_wins = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    World world(1850 + seed);
    world.run_until(5);
    // All nodes start a candidacy. Its transaction is applied after the node has abandoned it, and
    // shortly before the lease ends to which it attaches the record.
    crash_all_nodes(world, 0.01);
    world.run_until(5.02);
    for (std::size_t i = 0; i < 3; ++i) world.store(i).faults = {false, 0, 0, 1, 1.9 + 0.04 * seed};
    while (world.leader() == nullptr && world.loop.now() < 20) world.run_for(0.05);
    for (std::size_t i = 0; i < 3; ++i) world.store(i).faults = {};
    ASSERT_NE(world.leader(), nullptr) << seed;
    late_wins += world.loop.now() < 8;
    const auto term = leader_of(world).term();
    world.run_for(20);
    ASSERT_NE(world.leader(), nullptr) << seed;
    EXPECT_EQ(leader_of(world).term(), term) << seed;
  }
  EXPECT_GT(late_wins, 0U);
}

/// The winner of an election learns of it from its watch only after its lease has ended. It must be
/// able to start another candidacy, or no leader is ever elected.
TEST(DelayedCommits, ElectionRepeatsIfWinnerLearnsOfItTooLate) {
  World world(1890);
  world.run_until(5);
  std::set<std::string> winners;
  world.state.on_commit = [&](const wire::Transaction& transaction) {
    for (const auto& write : transaction.writes) {
      if (write.key != store::kLeadKey || !write.value) continue;
      const auto node = store::decode_lead(*write.value).node;
      if (!winners.insert(node).second) continue;
      const auto index = static_cast<std::size_t>(node.back() - '0');
      world.store(index).faults.watch_stalled = true;
      world.loop.after(6, [&world, index] { world.store(index).faults.watch_stalled = false; });
    }
  };
  crash_all_nodes(world, 0.01);
  world.run_until(45);
  EXPECT_GE(winners.size(), 2U) << "no second node was elected";
  ASSERT_NE(world.leader(), nullptr);
}

/// Commands are delayed by seconds, and some machines then hang and resume. A delayed command must
/// be rejected, or its task end within `cancel_s`.
TEST(DelayedCommands, AreRejectedOrEndByCancelDeadline) {
  for (int delay_s = 1; delay_s < 60; delay_s += 5) {
    World world(1500 + static_cast<unsigned>(delay_s));
    world.submit(array(1, 8, 20));
    world.run_until(20);
    world.network.command_delay_s = delay_s;
    world.submit(array(2, 8, 3000));
    world.submit(array(3, 8, 10));
    world.run_until(24 + delay_s % 7);
    world.cancel("job-2");
    world.run_until(35);
    world.network.command_delay_s = 0;
    for (auto& [id, worker] : world.workers) {
      if (world.random() < 0.5) worker->hang(delay_s % 9);
    }
    world.run_until(170);
    EXPECT_EQ(poll_reported_state(world, "job-2"), JobState::cancelled) << delay_s;
    EXPECT_EQ(poll_reported_state(world, "job-3"), JobState::done) << delay_s;
    ASSERT_EQ(world.rules.first_violation(), "") << delay_s;
  }
}

/// A `run` command is delayed in the network while a zone delegate could renew the machine's lease.
/// When it arrives, the job was cancelled more than `cancel_s` ago, so the machine's epoch must
/// have ended.
TEST(DelayedCommands, DelegateRenewsNoLeaseWhileCancelledRunMayBeInFlight) {
  World world(1560);
  world.cloud.capacity = 20;
  world.submit(array_in("south", 1, 3, 3000));  // leaves room on one machine
  world.run_until(45);
  move_leadership_to_north(world);
  ASSERT_EQ(placed_tasks(world, "job-1"), 3U);
  world.network.command_delay_s = 70;
  auto delayed_job = array_in("south", 2, 1, 3000);
  delayed_job.image_gb = 0;  // runs as soon as the command arrives
  world.submit(delayed_job);
  for (int i = 0; i < 200 && placed_tasks(world, "job-2") == 0; ++i) world.run_for(0.02);
  world.run_for(0.4);  // the command RPC is in flight
  world.network.partition_zones();
  world.run_for(8);
  ASSERT_FALSE(world.node(1)->mirror().delegations().empty()) << "the south has no delegate";
  world.cancel("job-2");
  world.run_for(70);
  world.network.heal_partition();
  world.network.command_delay_s = 0;
  world.run_for(60);
  EXPECT_EQ(poll_reported_state(world, "job-2"), JobState::cancelled);
  expect_no_violations(world);
}

}  // namespace
}  // namespace elmstall::test
