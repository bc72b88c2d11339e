/// \file
/// Gangs: all tasks of a gang run or none does, also when machines, tasks or leaders fail.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;
using GangState = state::Gang::State;

/// A gang of 70 small tasks. Its blocks of 8 tasks each are recorded in several commits.
wire::JobSpec gang_of_many_blocks() {
  auto job = gang(1, 70, 10);
  job.cpus = 1;
  job.gpus = 0;
  job.memory_gb = 5;
  return job;
}

/// A gang that any other job may preempt.
wire::JobSpec idle_gang() {
  auto job = gang(1, 4, 60);
  job.priority = wire::Priority::idle;
  return job;
}

GangState state_of(World& world, const std::string& id) {
  const auto* job = job_at_leader(world, id);
  return job == nullptr ? GangState::done : job->gang.state;
}

/// Runs until the gang is in this state; false if it is not within `timeout_s`.
bool wait_for(World& world, const std::string& id, GangState state, double timeout_s = 60) {
  for (const double end = world.loop.now() + timeout_s; world.loop.now() < end;) {
    if (state_of(world, id) == state) return true;
    world.run_for(0.02);
  }
  return false;
}

/// Submits the gang `job-1` and runs for `seconds` after its start.
void run_gang_for(World& world, const wire::JobSpec& job, double seconds) {
  world.submit(job);
  ASSERT_TRUE(wait_for(world, "job-1", GangState::running));
  world.run_for(seconds);
}

/// Runs until all four tasks of the gang `job-1` are placed, but not beyond 60 s.
void place_all_four(World& world) {
  for (double t = 1; t < 60 && placed_tasks(world, "job-1") < 4; t += 0.02) world.run_until(t);
}

/// The worker on which this task of the gang runs or will run.
FakeWorker& worker_of_task(World& world, const state::Job& job, std::size_t index) {
  return *world.workers.at(job.blocks.begin()->second->tasks[index].machine()->id);
}

/// Number of the gang's tasks that their machines report as waiting for the other tasks.
std::size_t gathering_tasks(World& world, const std::string& id) {
  std::size_t count = 0;
  auto* job = job_at_leader(world, id);
  if (job == nullptr) return 0;
  for (const auto& [number, block] : job->blocks) {
    for (const auto& task : block->tasks) {
      if (task.may_be_on_machine() && task.reported_state() == wire::TaskState::gathering) ++count;
    }
  }
  return count;
}

TEST(Gang, CompletesInTheFirstAttempt) {
  World world(801);
  world.submit(gang(1, 6));
  ASSERT_TRUE(wait_for(world, "job-1", GangState::running));
  EXPECT_EQ(world.rules.tasks_on_machines("job-1"), 6U);
  world.run_for(60);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
  EXPECT_EQ(world.gangs.attempts_started(), 1U);
  expect_no_violations(world);
}

TEST(Gang, StartsOnlyWhenAllBlocksAreRecorded) {
  World world(802);
  world.cloud.capacity = 60;
  world.submit(gang_of_many_blocks());
  bool saw_unwritten_block = false;
  for (double t = 1; t < 60 && world.gangs.attempts_started() == 0; t += 0.01) {
    world.run_until(t);
    auto* job = job_at_leader(world, "job-1");
    if (job == nullptr || job->gang.state != GangState::starting) continue;
    bool run_sent = false;
    bool unwritten = false;
    for (const auto& [number, block] : job->blocks) {
      for (const auto& task : block->tasks) {
        run_sent = run_sent || task.run_sent();
        unwritten = unwritten || block->record->written < task.required_version();
      }
    }
    saw_unwritten_block = saw_unwritten_block || unwritten;
    ASSERT_FALSE(run_sent && unwritten) << "at " << t;
  }
  EXPECT_TRUE(saw_unwritten_block);
  EXPECT_EQ(world.gangs.attempts_started(), 1U);
  world.run_for(40);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
  expect_no_violations(world);
}

TEST(Gang, OfOneTaskCompletes) {
  World world(803);
  world.submit(gang(1, 1, 5));
  world.run_until(60);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
  expect_no_violations(world);
}

TEST(Gang, MachineLossDuringGatheringKeepsTheAttempt) {
  World world(804);
  // Another gang keeps machines with free capacity in the fleet.
  auto other = gang(2, 4, 500);
  other.cpus = 1;
  other.gpus = 0;
  world.submit(other);
  ASSERT_TRUE(wait_for(world, "job-2", GangState::running));
  world.submit(gang(1, 4));
  ASSERT_TRUE(wait_for(world, "job-1", GangState::starting));
  // The machine of the last of the four tasks hangs before it has fetched the image.
  auto& job = *job_at_leader(world, "job-1");
  auto& last = worker_of_task(world, job, 3);
  last.hang(100);
  for (double end = world.loop.now() + 10;
       world.loop.now() < end && gathering_tasks(world, "job-1") == 0;)
    world.run_for(0.02);
  ASSERT_GT(gathering_tasks(world, "job-1"), 0U);
  const auto attempt = job.gang.attempt;
  last.die();
  ASSERT_TRUE(wait_for(world, "job-1", GangState::running));
  EXPECT_EQ(job_at_leader(world, "job-1")->gang.attempt, attempt);
  EXPECT_EQ(world.gangs.attempts_failed(), 0U);
  expect_no_violations(world);
}

TEST(Gang, MachineLossLateInGatheringBeginsANewAttempt) {
  World world(805);
  world.settings.gang_wait_s = 9;
  for (std::size_t i = 0; i < world.node_count(); ++i) world.set_gang_wait(i, 9);
  world.submit(gang(1, 4));
  ASSERT_TRUE(wait_for(world, "job-1", GangState::starting));
  auto& job = *job_at_leader(world, "job-1");
  const auto attempt = job.gang.attempt;
  auto& last = worker_of_task(world, job, 3);
  last.hang(100);
  world.run_for(5);
  last.die();
  ASSERT_TRUE(wait_for(world, "job-1", GangState::running, 120));
  EXPECT_GT(job_at_leader(world, "job-1")->gang.attempt, attempt);
  expect_no_violations(world);
}

TEST(Gang, MachineLossRestartsTheGangFromItsCheckpoint) {
  World world(805);
  ASSERT_NO_FATAL_FAILURE(run_gang_for(world, gang(1, 4, 40), 12));
  worker_of(world, "job-1")->die();
  ASSERT_TRUE(wait_for(world, "job-1", GangState::ending));
  EXPECT_EQ(world.gangs.progress("job-1"), 10);
  world.run_for(120);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
  EXPECT_EQ(world.gangs.attempts_started(), 2U);
  expect_no_violations(world);
}

TEST(Gang, MachineHangShorterThanTheLeaseEndsTheAttempt) {
  World world(806);
  world.settings.gang_peer_s = 2;
  world.submit(gang(1, 4, 30));
  ASSERT_TRUE(wait_for(world, "job-1", GangState::running));
  worker_of(world, "job-1")->hang(5);
  world.run_for(120);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
  EXPECT_EQ(world.gangs.attempts_failed(), 1U);
  expect_no_violations(world);
}

TEST(Gang, PreemptionStopsAllTasksAndSavesACheckpoint) {
  World world(807);
  world.cloud.capacity = 2;
  ASSERT_NO_FATAL_FAILURE(run_gang_for(world, idle_gang(), 7));
  world.submit(service_in_any_zone(2, 1));
  ASSERT_TRUE(wait_for(world, "job-1", GangState::stopping));
  world.run_for(10);
  EXPECT_EQ(world.gangs.attempts_saved(), 1U);
  EXPECT_EQ(world.gangs.attempts_failed(), 0U);
  EXPECT_GT(world.gangs.progress("job-1"), 6);
  EXPECT_EQ(world.rules.tasks_on_machines("job-2"), 1U);
  EXPECT_EQ(world.rules.tasks_on_machines("job-1"), 0U)
      << "there is no capacity for the whole gang";
  expect_no_violations(world);
}

/// Runs a gang on spot machines for `seconds` after its start.
void run_on_spot_for(World& world, double seconds) {
  auto job = gang(1, 4, 60);
  job.spot = true;
  run_gang_for(world, job, seconds);
}

TEST(Gang, SpotInterruptionNoticeStopsAllTasks) {
  World world(808);
  ASSERT_NO_FATAL_FAILURE(run_on_spot_for(world, 7));
  worker_of(world, "job-1")->interruption_at = world.loop.now() + 20;
  ASSERT_TRUE(wait_for(world, "job-1", GangState::stopping));
  world.run_for(6);
  EXPECT_EQ(world.gangs.attempts_saved(), 1U);
  expect_no_violations(world);
}

TEST(Gang, SpotInterruptionNoticeTooShortToSaveEndsTheAttempt) {
  World world(809);
  ASSERT_NO_FATAL_FAILURE(run_on_spot_for(world, 7));
  worker_of(world, "job-1")->interruption_at = world.loop.now() + 2;
  ASSERT_TRUE(wait_for(world, "job-1", GangState::ending));
  world.run_for(5);
  EXPECT_EQ(world.gangs.attempts_saved(), 0U);
  EXPECT_EQ(world.gangs.progress("job-1"), 5);
  expect_no_violations(world);
}

TEST(Gang, TakeoverDuringAStopSendsTheRemainingStopCommands) {
  World world(810);
  world.cloud.capacity = 2;
  ASSERT_NO_FATAL_FAILURE(run_gang_for(world, idle_gang(), 7));
  // The leader crashes right after its first stop command has reached a machine.
  bool stopping = false;
  world.on_commands = [&] {
    if (stopping || state_of(world, "job-1") != GangState::stopping) return;
    stopping = true;
    world.loop.after(0.0005, [&world] { world.crash(leader_index(world), 8); });
  };
  world.submit(service_in_any_zone(2, 1));
  world.run_for(60);
  world.on_commands = {};
  EXPECT_TRUE(stopping);
  EXPECT_EQ(world.rules.tasks_on_machines("job-2"), 1U);
  expect_no_violations(world);
}

TEST(Gang, TakeoverDuringGatheringKeepsTheAttempt) {
  World world(811);
  auto job = gang(1, 4);
  job.image_gb = 4;
  world.submit(job);
  place_all_four(world);
  world.run_for(1);
  world.crash(leader_index(world), 8);
  world.run_for(90);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
  EXPECT_EQ(world.gangs.attempts_started(), 1U);
  expect_no_violations(world);
}

/// A leader that crashes after its first stop command leaves the gang in this state: one task saves
/// and stops, and the others have not received the command.
TEST(Gang, PartialStopByAFormerLeaderIsCompleted) {
  World world(815);
  ASSERT_NO_FATAL_FAILURE(run_gang_for(world, gang(1, 4, 60), 7));
  auto& leader = leader_of(world);
  const auto& task = job_at_leader(world, "job-1")->blocks.begin()->second->tasks[0];
  (void)world.workers.at(task.machine()->id)
      ->on_command_rpc(leader.token() + task.machine()->fence, task.machine()->epoch,
                       {{wire::Verb::stop, "job-1", 0, task.attempt(), 2}});
  ASSERT_TRUE(wait_for(world, "job-1", GangState::stopping, 5));
  world.run_for(4);
  EXPECT_EQ(world.gangs.attempts_saved(), 1U);
  EXPECT_EQ(world.gangs.attempts_failed(), 0U);
  expect_no_violations(world);
}

/// The next leader must know the number of the running attempt; otherwise it sends no commands for
/// the gang.
TEST(Gang, TakeoverKeepsTheSecondAttempt) {
  World world(814);
  ASSERT_NO_FATAL_FAILURE(run_gang_for(world, gang(1, 4, 200), 6));
  worker_of(world, "job-1")->die();
  ASSERT_TRUE(wait_for(world, "job-1", GangState::ending));
  ASSERT_TRUE(wait_for(world, "job-1", GangState::running, 120));
  world.crash(leader_index(world), 8);
  world.run_for(15);
  EXPECT_EQ(job_at_leader(world, "job-1")->gang.attempt, 2U);
  EXPECT_EQ(state_of(world, "job-1"), GangState::running);
  EXPECT_EQ(world.gangs.attempts_failed(), 1U) << "the loss, not the takeover";
  expect_no_violations(world);
}

TEST(Gang, TakeoverBetweenItsCommitsFailsNoAttempt) {
  World world(812);
  world.cloud.capacity = 60;
  bool crashed = false;
  world.state.on_commit = [&](const wire::Transaction&) {
    const auto* job = job_at_leader(world, "job-1");
    if (crashed || job == nullptr || job->gang.state != GangState::starting) return;
    crashed = true;
    world.loop.after(0, [&world] { world.crash(leader_index(world), 5); });
  };
  world.submit(gang_of_many_blocks());
  world.run_until(120);
  world.state.on_commit = {};
  EXPECT_TRUE(crashed);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
  EXPECT_EQ(world.gangs.attempts_failed(), 0U);
  expect_no_violations(world);
}

TEST(Gang, StaysInOneZoneAcrossAttempts) {
  World world(813);
  auto job = gang(1, 4, 40);
  job.together = true;
  ASSERT_NO_FATAL_FAILURE(run_gang_for(world, job, 6));
  // The disconnected machine binds the gang to its zone until its lease has expired.
  auto* lost = worker_of(world, "job-1");
  lost->cut = true;
  world.run_for(120);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
  expect_no_violations(world);
}

TEST(Gang, CancellationAtAnyTimeEndsAllTasks) {
  for (const double after : {0.05, 1.0, 3.0, 8.0, 15.0}) {
    World world(820);
    world.submit(gang(1, 4, 60));
    place_all_four(world);
    world.run_for(after);
    world.cancel("job-1");
    world.run_for(10);
    EXPECT_EQ(world.rules.tasks_on_machines("job-1"), 0U) << after;
    EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::cancelled);
    expect_no_violations(world);
  }
}

TEST(Gang, RepeatedTaskFailuresLimitTheRateOfStarts) {
  World world(830);
  world.submit(gang(1, 2, 10));
  world.submit(gang(2, 2, 10));
  world.run_until(20);
  for (auto& [id, worker] : world.workers) worker->task_failure_share = 1;
  const auto before = world.rules.starts();
  world.run_until(140);
  EXPECT_LT(world.rules.starts() - before, 120U);
  expect_no_violations(world);
}

TEST(Gang, WaitingGangsNeitherDeadlockNorStarveBehindArrays) {
  World world(840);
  world.cloud.capacity = 4;
  // Arrays that take every slot as soon as it is free.
  for (int i = 10; i < 30; ++i) world.submit(array(i, 8, 10));
  world.run_until(25);
  auto first = gang(1, 6, 15);
  first.spot = true;
  auto second = gang(2, 6, 15);
  second.spot = true;
  world.submit(first);
  world.submit(second);
  world.run_until(230);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
  EXPECT_EQ(poll_reported_state(world, "job-2"), JobState::done);
  expect_no_violations(world);
}

/// Guards against a gang that keeps its places for ever although it can't begin: it lost a task
/// before its tasks were told to run, and no machine takes the replacement.
TEST(Gang, GivesUpItsPlacesWhenALostTaskFindsNone) {
  World world(860);
  world.submit(gang(1, 4));
  while (world.loop.now() < 60 && state_of(world, "job-1") != GangState::starting)
    world.run_for(0.001);
  ASSERT_EQ(state_of(world, "job-1"), GangState::starting);
  auto& model = leader_model(world);
  auto* job = job_at_leader(world, "job-1");
  auto& lost = job->blocks.begin()->second->tasks[0];
  ASSERT_FALSE(lost.run_sent());
  model.unassign(lost);
  world.cloud.capacity = 0;
  for (const double end = world.loop.now() + world.settings.gang_wait_s + 10;
       world.loop.now() < end; world.run_for(0.1)) {
    for (auto& [id, machine] : model.machines()) machine->quarantined = true;
  }
  EXPECT_EQ(placed_tasks(world, "job-1"), 0U) << "it holds places that others could use";
  EXPECT_EQ(world.rules.starts(), 0U);
  world.cloud.capacity = 20;
  world.run_for(120);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
  expect_no_violations(world);
}

TEST(Gang, AboveTheTeamLimitIsRejected) {
  World world(850);
  world.run_until(5);
  auto job = gang(1, 9);  // red may use 8 GPUs
  job.team = "red";
  const auto response = world.response_of(0, submit_request(job), 1);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 422);
}

TEST(GangStates, OnlyValidTransitionsAreAllowed) {
  using State = state::Gang::State;
  EXPECT_TRUE(state::is_valid_transition(State::waiting, State::starting));
  EXPECT_TRUE(state::is_valid_transition(State::stopping, State::waiting));
  EXPECT_FALSE(state::is_valid_transition(State::waiting, State::running));
  EXPECT_FALSE(state::is_valid_transition(State::ending, State::starting));
  EXPECT_FALSE(state::is_valid_transition(State::running, State::waiting));
  EXPECT_FALSE(state::is_valid_transition(State::done, State::waiting));
}

}  // namespace
}  // namespace elmstall::test
