/// \file
/// Commands sent to workers by RPC, without waiting for a heartbeat (safety rules 2 and 4).
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

/// Heartbeats are 10 s apart in large deployments; a start must not wait for the next one.
TEST(CommandRpc, StartsDoNotWaitForAHeartbeat) {
  World world(31);
  world.settings.heartbeat_interval_s = 6;  // of the workers
  world.submit(array(1, 1, 400));           // leaves room on its machine
  world.run_until(60);
  ASSERT_EQ(placed_tasks(world, "job-1"), 1U);
  auto second = array(2, 1, 400);
  second.image_gb = 0;
  const auto starts_before = world.rules.starts();
  world.submit(second);
  world.run_until(61.2);
  EXPECT_EQ(world.rules.starts(), starts_before + 1)
      << "not started within 1.2 s despite free capacity";
  expect_no_violations(world);
}

/// Nor does the start of a task whose place was freed by one that ended.
TEST(CommandRpc, AFreedPlaceIsTakenWithoutAHeartbeat) {
  World world(34);
  world.settings.heartbeat_interval_s = 6;  // of the workers
  world.cloud.capacity = 1;
  auto job = array(1, 12, 4);
  job.image_gb = 0;
  double freed_at = -1;
  double longest = 0;
  world.rules.on_event = [&](double now, const std::string& event) {
    if (event.ends_with(" starts") && freed_at >= 0) longest = std::max(longest, now - freed_at);
    if (event.ends_with(" starts")) freed_at = -1;
    if (event.find(" is off ") != std::string::npos) freed_at = now;
  };
  world.submit(job);
  world.run_until(60);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
  // The worker reports the end within 0.5 s; the rest is a decision, a commit and an RPC.
  EXPECT_LT(longest, 0.7) << "a place stayed free until the next heartbeat";
  expect_no_violations(world);
}

/// Reports and calls of a machine in a minute, with tasks that end one after the other: what clears
/// attempts must not need messages of its own.
TEST(CommandRpc, ClearingTasksNeedsFewMessages) {
  World world(35);
  world.use_large_fleet_settings();
  world.cloud.capacity = 4;
  for (int job = 1; job <= 4; ++job) {
    auto spec = array(job, 60, 12);
    spec.image_gb = 0;
    world.submit(spec);
  }
  world.run_until(60);
  const auto totals = [&] {
    std::pair<std::size_t, std::size_t> sums;
    for (const auto& [id, worker] : world.workers) {
      sums.first += worker->heartbeats_sent();
      sums.second += worker->command_rpcs();
    }
    return sums;
  };
  const auto before = totals();
  const auto starts_before = world.rules.starts();
  constexpr double kMinutes = 3;
  world.run_for(kMinutes * 60);
  const auto after = totals();
  const auto starts = static_cast<double>(world.rules.starts() - starts_before);
  ASSERT_GT(starts, 60);
  const double heartbeats = static_cast<double>(after.first - before.first);
  const double rpcs = static_cast<double>(after.second - before.second);
  RecordProperty("heartbeats_a_minute", std::to_string(heartbeats / kMinutes / 4));
  RecordProperty("rpcs_a_minute", std::to_string(rpcs / kMinutes / 4));
  RecordProperty("starts_a_minute", std::to_string(starts / kMinutes / 4));
  // One call starts a task. A task's end, its start and its clearing are told by at most one
  // heartbeat each; besides, heartbeats are sent every 10 s, and twice a lease for a higher token.
  EXPECT_LE(rpcs, starts);
  EXPECT_LE(heartbeats, 3 * starts + 4 * kMinutes * (60 / 7.5 + 2 * 60 / 45.0));
  expect_no_violations(world);
}

/// A command RPC without a response may be carried out much later. Until the machine has shown a
/// higher token, its task must not be assigned to another machine.
TEST(CommandRpc, ALostCommandRpcIsFenced) {
  for (unsigned seed = 1; seed <= 30; ++seed) {
    World world(400 + seed);
    world.submit(array(1, 4, 15));
    world.run_until(20);
    // From here on heartbeats get no response, and command RPCs are lost or carried out up to a
    // minute later.
    drop_responses_to_all_workers(world);
    world.submit(array(2, 6, 15));
    world.run_until(24);
    world.cancel("job-1");
    world.run_until(26 + seed % 8);
    deliver_responses_to_all_workers(world);
    world.run_until(200);
    EXPECT_EQ(poll_reported_state(world, "job-2"), JobState::done) << seed;
    ASSERT_EQ(world.rules.first_violation(), "") << seed;
  }
}

/// If no command RPC succeeds, commands are sent in heartbeat replies.
TEST(CommandRpc, HeartbeatRepliesCarryCommandsWhenRpcsAreBlocked) {
  World world(32);
  world.network.command_rpcs_blocked = true;
  world.submit(array(1, 6, 5));
  world.run_until(120);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
  expect_no_violations(world);
}

/// A command RPC that arrives after its attempt was cleared must not start the attempt again.
TEST(CommandRpc, DelayedRpcDoesNotRestartClearedAttempt) {
  World world(33);
  world.cloud.capacity = 1;
  world.submit(array(1, 1, 5));
  world.run_until(20);
  auto* worker = worker_of(world, "job-1");
  ASSERT_NE(worker, nullptr);
  auto* machine = machine_of(world, *worker);
  ASSERT_NE(machine, nullptr);
  const auto token = leader_of(world).token() + machine->fence;
  const auto epoch = machine->epoch;
  const auto* task = *machine->tasks.begin();
  const wire::WorkerCommand command{wire::Verb::run, "job-1", task->index, task->attempt(), 0};
  // The next command RPC is carried out, but its reply is lost.
  world.network.command_replies_lost = true;
  world.submit(array(2, 1, 5));
  world.run_until(26);
  world.network.command_replies_lost = false;
  EXPECT_GT(leader_of(world).token() + machine->fence, token) << "the fence was not raised";
  world.run_until(50);
  poll_jobs(world, {"job-1", "job-2"}, 2);
  ASSERT_EQ(world.last_reported_state("job-1"), JobState::done);
  ASSERT_EQ(world.last_reported_state("job-2"), JobState::done);
  const auto starts = world.rules.starts();
  EXPECT_EQ(starts, 2U);
  EXPECT_EQ(worker->on_command_rpc(token, epoch, {command}).outcome,
            clients::CommandResult::Outcome::refused);
  world.run_until(60);
  EXPECT_EQ(world.rules.starts(), starts);
  expect_no_violations(world);
}

}  // namespace
}  // namespace elmstall::test
