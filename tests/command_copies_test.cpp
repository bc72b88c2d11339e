/// \file
/// Late copies of commands that were carried out and answered. No copy may start a task, or change
/// one that was started after the original command (safety rule 4).
#include <gtest/gtest.h>

#include "config/constants.hpp"
#include "support/captured_command.hpp"
#include "support/scenarios.hpp"
#include "wire/fencing_token.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;
using wire::Verb;

constexpr const char* kJob = "job-1";

/// Makes copies of all answered commands while jobs of this kind run and end.
void play_with_copies(World& world, double until) {
  world.command_copies.begin(1);
  world.run_until(until);
  world.command_copies.end();
  world.run_for(35);  // copies that are under way
  EXPECT_GT(world.command_copies.delivered(), 0U);
  expect_starts_without_violations(world);
}

/// Guards against `ran_twice`: a task that had failed and ran on a second machine was started on
/// the first one again, by a copy of the command that had started it there.
TEST(CommandCopies, StartOfAFailedTaskDoesNotRunItBesideItsNextAttempt) {
  World world(9000);
  world.cloud.capacity = 4;
  world.submit(service(1, 2));  // keeps a machine in each zone, each with room for another task
  world.run_until(60);
  ASSERT_EQ(running_tasks(world, "job-1"), 2U);
  for (auto& [id, worker] : world.workers) worker->task_failure_share = 1;
  const CapturedCommand start(world, Verb::run);
  auto job = array(2, 1, 4);
  job.spot = false;
  job.image_gb = 0;
  world.submit(job);
  world.run_for(2);
  ASSERT_NE(start.worker(), nullptr);
  for (auto& [id, worker] : world.workers) {
    if (worker.get() != start.worker()) worker->task_failure_share = 0;
  }
  machine_of(world, *start.worker())->quarantined = true;
  const auto runs_elsewhere = [&] {
    return running_tasks(world, "job-2") == 1 && worker_of(world, "job-2") != start.worker();
  };
  for (int step = 0; step < 600 && !runs_elsewhere(); ++step) world.run_for(0.2);
  ASSERT_TRUE(runs_elsewhere());
  start.repeat();
  world.run_for(5);
  expect_no_violations(world);
}

/// Guards against starts by copies of tasks that failed, whenever the copies arrive.
TEST(CommandCopies, StartOfAFailedTaskDoesNotRunItAgain) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    World world(9000 + seed);
    world.submit(array(1, 6, 5));
    world.run_until(20);
    for (auto& [id, worker] : world.workers) worker->task_failure_share = 0.6;
    for (int job = 2; job < 6; ++job) world.submit(array(job, 4, 3));
    play_with_copies(world, 120);
  }
}

/// Guards against `ran_cancelled`: a cancelled task was started by a copy.
TEST(CommandCopies, StartOfACancelledTaskDoesNotRunItAgain) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    World world(9010 + seed);
    world.command_copies.begin(1);
    for (int job = 1; job < 10; ++job) {
      world.submit(array(job, 3, 100));
      world.run_for(12);
      world.cancel("job-" + std::to_string(job));
    }
    play_with_copies(world, 140);
  }
}

/// Guards against starts by copies of tasks that completed, with and without a change of leader.
TEST(CommandCopies, StartOfACompletedTaskDoesNotRunItAgain) {
  for (const double restart_after_s : {0.0, 0.3, 8.0}) {
    World world(9020);
    world.command_copies.begin(1);
    for (int job = 1; job < 10; ++job) {
      world.submit(array(job, 4, 4));
      world.run_for(10);
      if (restart_after_s > 0 && job % 3 == 0) world.crash(leader_index(world), restart_after_s);
      world.run_for(2);
    }
    play_with_copies(world, 130);
    EXPECT_EQ(poll_reported_state(world, "job-9"), JobState::done);
  }
}

/// Guards against starts by copies of tasks that were stopped to make room for others.
TEST(CommandCopies, StartOfAPreemptedTaskDoesNotRunItAgain) {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    World world(9030 + seed);
    world.cloud.capacity = 4;
    world.command_copies.begin(1);
    world.submit(array(1, 8, 40));
    world.run_until(25);
    ASSERT_EQ(placed_tasks(world, kJob), 8U) << "all room is taken";
    for (int job = 2; job < 6; ++job) {
      auto urgent = service_in_any_zone(job, 3);
      urgent.spot = true;
      world.submit(urgent);
      world.run_for(8);
      if (job == 2) {
        EXPECT_LT(placed_tasks(world, kJob), 8U) << "nothing was preempted";
      }
      world.cancel(urgent.id);
      world.run_for(8);
    }
    play_with_copies(world, 140);
  }
}

/// Guards against starts by copies of tasks that their machine had refused.
TEST(CommandCopies, StartOfARefusedTaskDoesNotRunItLater) {
  World world(9040);
  world.command_copies.begin(1);
  world.submit(array(1, 1, 400));
  world.run_until(40);
  auto* worker = worker_of(world, kJob);
  ASSERT_NE(worker, nullptr);
  // Tasks of unknown origin fill the machine, which the leader does not know yet.
  const auto* machine = machine_of(world, *worker);
  for (std::uint32_t index = 0; index < 2; ++index) {
    (void)worker->on_command_rpc(leader_of(world).token() + machine->fence, machine->epoch,
                                 {{Verb::run, kJob, index + 10, 1, 0}});
  }
  world.submit(array(2, 4, 10));
  play_with_copies(world, 160);
  EXPECT_GT(worker->refused_starts(), 0U);
}

/// Guards against starts and stops by copies of commands for gangs, whose replaced tasks keep their
/// attempt number.
TEST(CommandCopies, CommandsOfAGangTakeEffectOnce) {
  for (unsigned seed = 1; seed <= 6; ++seed) {
    World world(9050 + seed);
    world.cloud.capacity = 6;
    world.command_copies.begin(1);
    world.submit(gang(1, 4, 15));
    world.run_until(12);
    for (auto& [id, worker] : world.workers) worker->task_failure_share = 0.3;
    for (int job = 2; job < 6; ++job) {
      world.submit(gang(job, 3, 6));
      world.run_for(7);
      if (job == 4) world.crash(leader_index(world), 0.2);
    }
    world.cancel("job-5");
    play_with_copies(world, 150);
  }
}

/// Guards against starts by copies while a zone delegate answers the machines.
TEST(CommandCopies, StartDoesNotRunAgainUnderAZoneDelegate) {
  World world(9060, 4);
  world.cloud.capacity = 20;
  world.command_copies.begin(1);
  world.submit(array_in("south", 1, 6, 12));
  world.submit(array_in("south", 2, 4, 300));
  world.run_until(40);
  move_leadership_to_north(world);
  world.network.cut_zone("south");
  world.run_for(3);
  world.cancel("job-2");
  world.run_for(5);
  const auto& items = world.state.items();
  const auto prefix = store::delegation_key("");
  const auto first = items.lower_bound(prefix);
  EXPECT_TRUE(first != items.end() && first->first.starts_with(prefix)) << "no zone delegate";
  world.run_for(20);
  world.network.restore_zone("south");
  play_with_copies(world, 140);
}

/// Guards against a copy that arrives minutes later, when nothing else runs on the machine.
TEST(CommandCopies, StartDoesNotRunAgainMinutesLater) {
  World world(9070);
  world.use_large_fleet_settings();
  // A service keeps the machine in use, and with it its epoch.
  world.submit(array(1, 1, 2000));
  world.run_until(60);
  const CapturedCommand start(world, Verb::run);
  world.submit(array(2, 1, 5));
  world.run_for(60);
  ASSERT_NE(start.worker(), nullptr);
  ASSERT_EQ(poll_reported_state(world, "job-2"), JobState::done);
  const auto starts = world.rules.starts();
  world.run_for(200);
  start.repeat();
  world.run_for(20);
  EXPECT_EQ(world.rules.starts(), starts);
  expect_no_violations(world);
}

// --- the end of a machine's fences -----------------------------------------------------

/// Every machine has used so many of its fences.
void use_fences(World& world, std::uint32_t used) {
  for (auto& [id, machine] : leader_model(world).machines()) machine->fence = used;
}

/// Guards against a machine on which commands can't be voided any more: it is emptied and replaced
/// while it still has fences left, and all work is done elsewhere.
TEST(LastFences, MachineThatRunsOutOfThemIsReplaced) {
  World world(9080);
  world.cloud.capacity = 4;
  world.submit(array(1, 8, 10));
  world.run_until(30);
  ASSERT_GT(world.rules.starts(), 0U);
  std::vector<std::string> before;
  for (const auto& [id, machine] : leader_model(world).machines()) before.push_back(id);
  use_fences(world, wire::kMaxFence - constants::kFenceReserve - 1);
  world.submit(array(2, 16, 10));
  play_with_copies(world, 160);
  for (const auto& id : before) EXPECT_EQ(leader_model(world).find_machine(id), nullptr) << id;
  EXPECT_EQ(poll_reported_state(world, "job-2"), JobState::done);
}

/// Guards against tasks that are started elsewhere while a command RPC without a reply can still be
/// carried out, because its machine has no higher token left.
TEST(LastFences, MachineWithoutAHigherTokenIsNotSynchronized) {
  for (unsigned seed = 9090; seed < 9096; ++seed) {
    World world(seed);
    world.submit(array(1, 8, 15));
    world.run_until(25);
    use_fences(world, wire::kMaxFence);
    world.network.command_delay_s = 20;
    world.submit(array(2, 6, 15));
    world.run_until(33);
    world.cancel(kJob);
    world.run_for(4);
    world.network.command_delay_s = 0;
    world.command_copies.begin(1);
    world.run_until(260);
    expect_no_violations(world);
    EXPECT_EQ(poll_reported_state(world, "job-2"), JobState::done) << seed;
  }
}

}  // namespace
}  // namespace elmstall::test
