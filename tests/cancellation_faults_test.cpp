// Cancellations and the end of jobs while something else fails.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

// --- cancellations and leader lease --------------------------------------------------

/// The state service refuses the leader alone, another controller confirms a
/// cancellation, and then nobody reaches the state service for longer than
/// `cancel_s`, while workers go on reporting to the leader. `told`: the leader
/// hears the others, so that the cancellation reaches it by word of mouth.
void play_gap(unsigned seed, double confirm_after, bool hears, double hang) {
  World world(seed, 3 + seed % 2);
  world.cloud.capacity = 16;
  world.set_clock(0, 0.9995);
  world.crash(0, 0.01);
  world.submit(array(1, 8, 3000));
  world.submit(array(2, 4, 3000));
  world.run_until(50);
  extreme_clocks(world);
  ASSERT_EQ(placed(world, "job-1"), 8U);
  const auto lead = leader_index(world);
  const double at = world.loop.now();
  if (!hears) world.network.cut_peer_links(lead);
  refuse_state(world, lead, true);
  world.run_until(at + confirm_after);
  ASSERT_TRUE(world.cancel_at((lead + 1) % world.node_count(), "job-1")) << confirm_after;
  const double confirmed = world.loop.now();
  if (hang > 0) {
    for (auto& [id, worker] : world.workers) worker->hang(hang);
  }
  world.run_until(at + 1.5);
  world.stop_state_store();
  const double gone_by = hears && hang <= 0 ? 5 : world.settings.cancel_s;
  world.run_until(confirmed + gone_by);
  EXPECT_EQ(world.rules.present("job-1"), 0U) << confirm_after;
  world.run_until(at + 75);
  world.restore_state_store();
  refuse_state(world, lead, false);
  world.network.restore_peer_links(lead);
  world.run_until(at + 130);
  EXPECT_EQ(told(world, "job-1"), JobState::cancelled) << confirm_after;
  EXPECT_EQ(placed(world, "job-2"), 4U) << confirm_after;
  ASSERT_EQ(world.rules.first_broken(), "") << confirm_after;
}

/// Layer 1, the bound W: the leader hears of nothing.
TEST(StaleLeader, ALeaderThatHearsNobodyStopsInTime) {
  for (int step = 0; step < 12; ++step)
    play_gap(1000 + static_cast<unsigned>(step), 0.005 + step * 0.1, false, 0);
}

/// The bound at its edges: the refusal begins at every moment of a read index's
/// second, the confirmation follows within milliseconds, and the clocks of the
/// leader and of the machines are as slow as the protocol allows.
TEST(StaleLeader, TheBoundHoldsToTheMoment) {
  double longest = 0;
  for (int step = 0; step < 50; ++step) {
    World world(1050 + static_cast<unsigned>(step) % 3);
    for (std::size_t i = 0; i < 3; ++i) world.set_clock(i, 0.9995);
    for (std::size_t i = 0; i < 3; ++i) world.crash(i, 0.01);
    world.cloud.capacity = 12;
    world.submit(array(1, 16, 3000));
    world.run_until(50);
    extreme_clocks(world);
    const auto lead = leader_index(world);
    world.run_until(50 + 0.02 * step);
    world.network.cut_peer_links(lead);
    refuse_state(world, lead, true);
    world.run_for(0.001);
    ASSERT_TRUE(world.cancel_at((lead + 1) % 3, "job-1", 0.02));
    const double confirmed = world.loop.now();
    world.stop_state_store();
    while (world.rules.present("job-1") > 0 && world.loop.now() < confirmed + 60)
      world.run_for(0.01);
    longest = std::max(longest, world.loop.now() - confirmed);
    ASSERT_EQ(world.rules.first_broken(), "") << step;
  }
  // No wider than it needs to be: tasks outlive as long an outage as they may.
  EXPECT_GT(longest, 40 - constants::kLeaderLeaseMargin - 1);
  EXPECT_LE(longest, 40);
}

/// Layer 3: told by the controller that confirmed, it ends them at once.
TEST(StaleLeader, ALeaderThatIsToldEndsThemAtOnce) {
  for (int step = 0; step < 12; ++step)
    play_gap(1100 + static_cast<unsigned>(step), 0.005 + step * 0.1, true, 0);
}

/// Machines hang from the moment of the confirmation and go on later.
TEST(StaleLeader, MachinesThatHangMeanwhileEndThemToo) {
  for (int hang = 1; hang < 10; ++hang) {
    play_gap(1200 + static_cast<unsigned>(hang), 0.3, true, hang);
    play_gap(1220 + static_cast<unsigned>(hang), 0.3, false, hang);
  }
}

/// The leader stands still in the gap and wakes with what it knew before.
TEST(StaleLeader, ALeaderThatStoodStillMeanwhileRenewsNothing) {
  for (int length = 2; length < 50; length += 4) {
    World world(1300 + static_cast<unsigned>(length));
    world.submit(array(1, 8, 3000));
    world.run_until(50);
    const auto lead = leader_index(world);
    refuse_state(world, lead, true);
    world.run_until(50.4);
    ASSERT_TRUE(world.cancel_at((lead + 1) % 3, "job-1"));
    world.freeze(lead, length);
    world.run_until(51);
    world.stop_state_store();
    world.run_until(120);
    world.restore_state_store();
    refuse_state(world, lead, false);
    world.run_until(170);
    EXPECT_EQ(told(world, "job-1"), JobState::cancelled) << length;
    ASSERT_EQ(world.rules.first_broken(), "") << length;
  }
}

/// Layer 2: while direct commands hang, one command RPC after the other, no answer
/// renews a lease without ending the cancelled tasks that it would keep alive.
TEST(StaleLeader, AnAnswerBesideCommandsThatHangEndsCancelledTasks) {
  World world(1400);
  world.submit(array(1, 4, 3000));
  world.run_until(45);
  world.network.command_rpcs_blocked = true;  // each command RPC takes its 2 s and fails
  auto* worker = worker_of(world, "job-1");
  ASSERT_NE(worker, nullptr);
  auto& leader = *world.leader()->leader();
  auto* machine = leader.model().find_machine(worker->id());
  ASSERT_TRUE(world.cancel_at(leader_index(world), "job-1", 0.05));
  for (int i = 0; i < 40 && !machine->rpc_in_flight; ++i) world.run_for(0.01);
  ASSERT_TRUE(machine->rpc_in_flight) << "orders are under way";
  auto heartbeat = heartbeat_of(*worker, machine->epoch, machine->sequence + 100,
                                leader.token() + machine->fence);
  show_tasks(heartbeat, *machine, wire::TaskState::running, wire::EndCause::none);
  ASSERT_FALSE(heartbeat.tasks.empty());
  for (const int older : {0, 1}) {  // as news, and crossing the reply to a command RPC
    heartbeat.sequence -= static_cast<std::uint64_t>(older);
    machine->rpc_completed_at = world.loop.now();
    const auto answer = world.response_of(
        leader_index(world), {"POST", "/v1/report", wire::encode_heartbeat(heartbeat)}, 0.05);
    ASSERT_TRUE(answer);
    ASSERT_EQ(answer->status, 200);
    const auto commands =
        wire::decode_commands(wire::Document::parse(answer->body).root()).commands;
    EXPECT_EQ(commands.size(), heartbeat.tasks.size()) << older;
    for (const auto& command : commands) EXPECT_EQ(command.verb, wire::Verb::stop) << older;
  }
  world.network.command_rpcs_blocked = false;
  world.run_for(30);
  EXPECT_EQ(told(world, "job-1"), JobState::cancelled);
  expect_rules(world);
}

/// The state service refuses the leader alone, which hears nobody: what somebody
/// has just cancelled through another controller is not started any more.
TEST(StaleLeader, NothingIsStartedOnKnowledgeThatMayBeOutOfDate) {
  World world(1410);
  world.cloud.capacity = 4;
  world.submit(array(1, 8, 8));
  world.run_until(15);
  world.network.command_rpcs_blocked = true;  // commands go with answers to heartbeats
  world.submit(array(2, 8, 3000));
  while (placed(world, "job-2") == 0 && world.loop.now() < 60) world.run_for(0.05);
  auto* worker = worker_of(world, "job-2");
  ASSERT_NE(worker, nullptr);
  for (auto& [id, one] : world.workers) one->cut = true;  // we speak for them
  world.run_for(3);                                       // recorded, and the direct way has failed
  const auto lead = leader_index(world);
  refuse_state(world, lead, true);
  world.network.cut_peer_links(lead);
  const auto* machine = world.leader()->leader()->model().find_machine(worker->id());
  const auto starts_told = [&] {
    auto heartbeat = heartbeat_of(*worker, machine->epoch, machine->sequence + 100,
                                  machine->fence + world.node(lead)->leader()->token());
    const auto answer =
        world.response_of(lead, {"POST", "/v1/report", wire::encode_heartbeat(heartbeat)}, 0.05);
    if (!answer || answer->status != 200) return -1;
    const auto commands =
        wire::decode_commands(wire::Document::parse(answer->body).root()).commands;
    return static_cast<int>(
        std::count_if(commands.begin(), commands.end(),
                      [](const auto& command) { return command.verb == wire::Verb::run; }));
  };
  EXPECT_GT(starts_told(), 0) << "just proved";
  ASSERT_TRUE(world.cancel_at((lead + 1) % 3, "job-2"));
  world.stop_state_store();
  world.run_for(5);
  EXPECT_EQ(starts_told(), 0) << "its lease is renewed, but nothing starts";
}

/// In an outage that all see nobody confirms anything, so work that is recorded
/// goes on to start.
TEST(StaleLeader, AnOutageThatAllSeeDoesNotStopStarts) {
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
    auto* job =
        world.leader() == nullptr ? nullptr : world.leader()->leader()->model().job("job-2");
    if (down || job == nullptr || job->on_machines == 0) continue;
    // Recorded and not sent yet: the machines hear nothing for 6 s.
    for (auto& [id, worker] : world.workers) worker->responses_dropped = true;
    world.stop_state_store();
    down = true;
    starts = world.rules.starts();
    world.run_until(t += 6);
    for (auto& [id, worker] : world.workers) worker->responses_dropped = false;
  }
  ASSERT_TRUE(down);
  EXPECT_GT(world.rules.starts(), starts)
      << "known for longer than a start may rest on, but nobody can have cancelled it";
  expect_rules(world);
}

// --- held up on the way --------------------------------------------------------------

/// Commands are carried out seconds later, and the machine then goes on.
TEST(DelayedCommands, AreVoidOrOverInTime) {
  for (int hold = 1; hold < 60; hold += 5) {
    World world(1500 + static_cast<unsigned>(hold));
    world.submit(array(1, 8, 20));
    world.run_until(20);
    world.network.command_delay_s = hold;
    world.submit(array(2, 8, 3000));
    world.submit(array(3, 8, 10));
    world.run_until(24 + hold % 7);
    world.cancel("job-2");
    world.run_until(35);
    world.network.command_delay_s = 0;
    for (auto& [id, worker] : world.workers) {
      if (world.random() < 0.5) worker->hang(hold % 9);
    }
    world.run_until(170);
    EXPECT_EQ(told(world, "job-2"), JobState::cancelled) << hold;
    EXPECT_EQ(told(world, "job-3"), JobState::done) << hold;
    ASSERT_EQ(world.rules.first_broken(), "") << hold;
  }
}

/// A `run` is held on its way while a zone delegate keeps the machine's lease: when
/// it arrives the job was cancelled longer than `cancel_s` ago.
TEST(DelayedCommands, AZoneDelegateKeepsNoLeaseUnderWhichACancelledTaskMayStart) {
  World world(1560);
  world.cloud.capacity = 20;
  world.submit(array_in("south", 1, 3, 3000));  // leaves room on a machine
  world.run_until(45);
  lead_from_north(world);
  ASSERT_EQ(placed(world, "job-1"), 3U);
  world.network.command_delay_s = 70;
  auto held = array_in("south", 2, 1, 3000);
  held.image_gb = 0;  // runs as soon as it is told to
  world.submit(held);
  for (int i = 0; i < 200 && placed(world, "job-2") == 0; ++i) world.run_for(0.02);
  world.run_for(0.4);  // the command RPC is under way
  world.network.part_zones();
  world.run_for(8);
  ASSERT_FALSE(world.node(1)->mirror().delegations().empty()) << "in care";
  world.cancel("job-2");
  world.run_for(70);
  world.network.rejoin_zones();
  world.network.command_delay_s = 0;
  world.run_for(60);
  EXPECT_EQ(told(world, "job-2"), JobState::cancelled);
  expect_rules(world);
}

// --- cancelled in the moment of the refusal ------------------------------------------

/// Several jobs at once through all controllers, in the very moment in which the
/// leader is refused, and a second later nobody is served.
TEST(CancellationDuringRefusal, InTheMomentOfTheRefusal) {
  for (int step = 0; step < 20; ++step) {
    World world(2000 + static_cast<unsigned>(step), 3 + static_cast<std::size_t>(step) % 2);
    world.cloud.capacity = 24;
    for (int i = 1; i <= 6; ++i) world.submit(array(i, 4, 3000));
    world.run_until(60);
    const auto lead = leader_index(world);
    const double at = world.loop.now();
    world.loop.at(at + 0.002 * step, [&] { refuse_state(world, lead, true); });
    for (int i = 1; i <= 5; ++i)
      world.loop.at(at + 0.01 * i, [&, i] { world.cancel("job-" + std::to_string(i)); });
    world.loop.at(at + 0.02, [&] {
      for (auto& [id, worker] : world.workers) {
        if (world.random() < 0.3) worker->hang(3 + world.random() * 25);
      }
    });
    world.run_until(at + 1);
    world.stop_state_store();
    world.run_until(at + 56);
    world.restore_state_store();
    refuse_state(world, lead, false);
    world.run_until(at + 130);
    for (int i = 1; i <= 5; ++i)
      EXPECT_EQ(told(world, "job-" + std::to_string(i)), JobState::cancelled) << step;
    EXPECT_EQ(placed(world, "job-6"), 4U) << step;
    ASSERT_EQ(world.rules.first_broken(), "") << step;
  }
}

// --- the end of a job's last task ----------------------------------------------------

/// A cancellation, a question and a repeated submission meet it, on all nodes
/// and with no other fault: the first answer binds every node for ever.
TEST(JobCompletion, TheFirstAnswerBindsAll) {
  std::size_t done = 0;
  std::size_t cancelled = 0;
  for (int step = 0; step < 60; ++step) {
    World world(3000 + static_cast<unsigned>(step) / 20);
    const auto job = array(1, 1, 3);
    world.submit(job);
    // Just about when its end is reported, committed and told.
    while (world.rules.completed_tasks("job-1") == 0 && world.loop.now() < 60)
      world.run_for(0.0005);
    ASSERT_LT(world.loop.now(), 60);
    const double end = world.loop.now();
    for (int i = 0; i < 6; ++i) world.loop.at(end + 0.004 * i, [&world] { world.poll("job-1"); });
    world.loop.at(end + 0.002 * (step % 20), [&world] { world.cancel("job-1"); });
    for (int i = 0; i < 6; ++i)
      world.loop.at(end + 0.003 * i, [&world, &job] { world.submit(job); });
    world.run_until(end + 5);
    for (int i = 0; i < 6; ++i) {
      world.poll("job-1");
      world.run_for(0.3);
    }
    const auto state = told(world, "job-1");
    done += state == JobState::done;
    cancelled += state == JobState::cancelled;
    ASSERT_EQ(world.rules.first_broken(), "") << step;
  }
  EXPECT_EQ(done + cancelled, 60U);
  EXPECT_GT(done, 0U);
  EXPECT_GT(cancelled, 0U) << "the moments lie on both sides";
}

/// Rule 4: what a heartbeat says is recorded before the worker is told to forget
/// it, also while the state service is away.
TEST(JobCompletion, IsRecordedBeforeItIsCleared) {
  World world(3050);
  world.submit(array(1, 1, 3000));
  world.run_until(30);
  auto* worker = worker_of(world, "job-1");
  ASSERT_NE(worker, nullptr);
  const auto lead = leader_index(world);
  auto& leader = *world.leader()->leader();
  auto* machine = leader.model().find_machine(worker->id());
  const auto* task = *machine->tasks.begin();
  worker->cut = true;  // we speak for it
  world.run_for(5);
  auto heartbeat =
      heartbeat_of(*worker, machine->epoch, machine->sequence, leader.token() + machine->fence);
  heartbeat.tasks.push_back(
      {"job-1", task->index, task->attempt, wire::TaskState::ended, wire::EndCause::done, false});
  const auto cleared = [&] {
    ++heartbeat.sequence;
    const auto answer =
        world.response_of(lead, {"POST", "/v1/report", wire::encode_heartbeat(heartbeat)}, 0.05);
    if (!answer || answer->status != 200) return -1;
    return static_cast<int>(
        wire::decode_commands(wire::Document::parse(answer->body).root()).commands.size());
  };
  world.rules.completed("job-1", 0);
  world.stop_state_store();
  EXPECT_EQ(cleared(), 0);
  world.run_for(2);
  EXPECT_EQ(cleared(), 0) << "not recorded yet";
  world.restore_state_store();
  world.run_for(3);
  EXPECT_EQ(cleared(), 1);
  EXPECT_EQ(told(world, "job-1"), JobState::done);
}

}  // namespace
}  // namespace elmstall::test
