// Machines, zones and teams while something else fails.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

// --- more work than room, over slow links --------------------------------------------

TEST(SlowLinks, UrgentAndOtherWorkOverSlowLinksIsServedAndAnswered) {
  World world(1600);
  world.cloud.capacity = 6;  // twelve tasks at once
  world.network.loss = 0.05;
  for (std::size_t i = 0; i < 3; ++i) world.store(i).faults.slow = 0.5;
  int number = 0;
  for (double t = 1; t < 240; t += 1) {
    world.run_until(t);
    const bool urgent = static_cast<int>(t) % 16 == 0;
    if (static_cast<int>(t) % 4 != 0) continue;
    ++number;
    auto job = array(number, 1 + static_cast<std::uint32_t>(number % 3), 8);
    job.priority = urgent ? wire::Priority::high : wire::Priority::idle;
    world.submit(job);
    world.poll("job-" + std::to_string(1 + world.pick(static_cast<std::size_t>(number))));
  }
  world.network.loss = 0;
  for (std::size_t i = 0; i < 3; ++i) world.store(i).faults.slow = 0;
  const double over = world.loop.now();
  for (double t = over; t < over + 160; t += 1) {
    world.run_until(t);
    for (int job = 1; job <= number; ++job) {
      if (job % 5 == static_cast<int>(t) % 5) world.poll("job-" + std::to_string(job));
    }
  }
  std::size_t done = 0;
  for (int job = 1; job <= number; ++job) {
    const auto id = "job-" + std::to_string(job);
    EXPECT_GT(world.replied_at(id), over + 85) << id;
    done += world.last_told(id) == JobState::done;
  }
  EXPECT_GT(done * 2, static_cast<std::size_t>(number));
  expect_rules(world);
}

// --- machines whose heartbeats do not arrive --------------------------------------------

/// They reach no controller, while direct commands reach them: a reply to those
/// once counted as a heartbeat, and what was started there died with its lease.
TEST(LostHeartbeats, NothingIsStartedOnAMachineThatCanNotHeartbeat) {
  World world(1700);
  world.cloud.capacity = 2;
  world.submit(array(1, 3, 3000));  // leaves room on one machine
  world.run_until(45);
  ASSERT_EQ(placed(world, "job-1"), 3U);
  auto& machines = world.leader()->leader()->model().machines();
  const auto found = std::find_if(machines.begin(), machines.end(), [](const auto& entry) {
    return entry.second->tasks.size() == 1;
  });
  ASSERT_NE(found, machines.end());
  const auto* machine = found->second.get();
  auto* worker = world.workers.at(machine->id).get();
  worker->heartbeats_dropped = true;
  world.cloud.down = true;  // it stays for now
  const double at = world.loop.now();
  // Each is started, called off and thus asked about by direct commands.
  for (int i = 2; i < 10; ++i) {
    auto job = array(i, 1, 3000);
    job.image_gb = 0;
    world.submit(job);
    world.run_until(at + 2 * i - 2.5);
    const bool there = std::any_of(machine->tasks.begin(), machine->tasks.end(),
                                   [&](const auto* task) { return task->job->id == job.id; });
    EXPECT_FALSE(there && world.loop.now() > at + 11) << "silent since " << world.loop.now() - at;
    world.cancel(job.id);
    world.run_until(at + 2 * i - 1.5);
  }
  world.cloud.down = false;
  world.run_until(at + 60);
  EXPECT_TRUE(worker->dead()) << "returned, for it stays so";
  EXPECT_EQ(placed(world, "job-1"), 3U);
  expect_rules(world);
}

/// Commands go out to them all the same, and many that lose their heartbeats at once are a cut.
TEST(LostHeartbeats, CancelledTasksEndThereAndManyAreKept) {
  World world(1710);
  world.cloud.capacity = 8;
  world.submit(array(1, 8, 3000));
  world.run_until(45);
  std::vector<FakeWorker*> heartbeats_dropped;
  for (auto& [id, worker] : world.workers) {
    worker->heartbeats_dropped = true;
    if (!worker->dead()) heartbeats_dropped.push_back(worker.get());
  }
  world.run_until(47);
  ASSERT_TRUE(world.cancel_at(leader_index(world), "job-1"));
  world.run_until(50);
  EXPECT_EQ(world.rules.present("job-1"), 0U);
  world.run_until(70);
  for (auto* worker : heartbeats_dropped) {
    EXPECT_FALSE(worker->dead()) << "all at once are not given up";
    worker->heartbeats_dropped = false;
  }
  world.submit(array(2, 8, 10));
  world.run_until(140);
  EXPECT_EQ(told(world, "job-2"), JobState::done);
  expect_rules(world);
}

// --- bound to a zone -----------------------------------------------------------------

/// Services and arrays that may not run anywhere lose machines, with commands lost
/// on the way: what may still be there counts until it is certainly gone.
TEST(ZoneBoundWork, LosesMachinesAndIsPlacedByItsRulesAgain) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    World world(2100 + seed, 4);
    world.cloud.capacity = 30;
    world.submit(array_in("north", 1, 5, 3000));
    world.submit(service(2, 5));
    auto together = array(3, 4, 3000);
    together.together = true;
    world.submit(together);
    auto bound = service(4, 3);
    bound.spread = false;
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
      for (auto& [id, worker] : world.workers) worker->cut = false;
      world.cloud.capacity = 30;
    }
    world.network.command_replies_lost = false;
    world.run_for(120);
    for (const auto& [id, tasks] : std::map<std::string, std::size_t>{
             {"job-1", 5}, {"job-2", 5}, {"job-3", 4}, {"job-4", 3}}) {
      EXPECT_EQ(placed(world, id), tasks) << seed << " " << id;
    }
    ASSERT_EQ(world.rules.first_broken(), "") << seed;
  }
}

/// A machine does not move: a heartbeat that names another zone once took its tasks
/// out of the count of a zone in which they had never been counted.
TEST(ZoneBoundWork, AHeartbeatThatNamesAnotherZoneChangesNoCount) {
  World world(2150);
  world.submit(service(1, 4));
  world.run_until(60);
  ASSERT_EQ(placed(world, "job-1"), 4U);
  auto* worker = worker_of(world, "job-1");
  auto& leader = *world.leader()->leader();
  auto* machine = leader.model().find_machine(worker->id());
  const auto* job = leader.model().job("job-1");
  worker->cut = true;  // we speak for it
  auto heartbeat = heartbeat_of(*worker, machine->epoch, machine->sequence + 100,
                                leader.token() + machine->fence);
  heartbeat.zone = worker->zone() == "north" ? "south" : "north";
  show_tasks(heartbeat, *machine, wire::TaskState::ended, wire::EndCause::error);
  // Straight to the leader: its node would send the worker to the other zone.
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

// --- a team at its limit -------------------------------------------------------------

/// The leader changes, some of the team's machines can't be asked, and its jobs
/// are cancelled in that spell: what may still be there counts.
TEST(TeamLimit, CountsWhatCanNotBeAskedFor) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    World world(2200 + seed);
    world.cloud.capacity = 12;
    auto first = array(1, 8, 3000);
    first.team = "red";  // 8 GPUs at most
    auto second = array(2, 8, 30);
    second.team = "red";
    world.submit(first);
    world.run_until(45);
    ASSERT_EQ(placed(world, "job-1"), 8U);
    world.submit(second);
    world.run_until(46);
    int some = 0;
    for (auto& [id, worker] : world.workers) {
      worker->cut = some++ % 2 == 0;
      if (seed % 3 == 0) worker->responses_dropped = !worker->cut;
    }
    world.crash(leader_index(world), seed % 2 == 0 ? 0.2 : 8);
    world.run_until(46.5 + 0.5 * seed);
    world.cancel("job-1");
    world.run_until(70);
    for (auto& [id, worker] : world.workers) worker->cut = worker->responses_dropped = false;
    world.run_until(180);
    EXPECT_EQ(told(world, "job-1"), JobState::cancelled) << seed;
    EXPECT_EQ(told(world, "job-2"), JobState::done) << seed;
    ASSERT_EQ(world.rules.first_broken(), "") << seed;
  }
}

/// A task that is shown where the records don't place it takes its team's share
/// until it is gone.
TEST(TeamLimit, CountsUnrecordedTasksOfKnownJobs) {
  World world(2220);
  auto job = array(1, 6, 3000);
  job.team = "red";
  world.submit(job);
  world.run_until(45);
  ASSERT_EQ(placed(world, "job-1"), 6U);
  auto& leader = *world.leader()->leader();
  wire::WorkerHeartbeat heartbeat{"host-999999",  "",           "m12", "north", true, 1, 1,
                                  leader.token(), std::nullopt, {}};
  for (std::uint32_t i = 0; i < 2; ++i)
    heartbeat.tasks.push_back(
        {"job-1", i, 77, wire::TaskState::running, wire::EndCause::none, false});
  const auto send = [&] {
    return world.response_of(leader_index(world),
                             {"POST", "/v1/report", wire::encode_heartbeat(heartbeat)}, 0.2);
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

/// A block names a machine that the records no longer know, for the machine's
/// end was written before the block: its task once counted for its team for
/// ever, and a cancelled job never came to its end.
TEST(TeamLimit, ATaskOnAMachineThatWasDeletedHoldsNothing) {
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
  for (std::size_t i = 0; i < 3; ++i) world.crash(i, 0.3);
  ASSERT_EQ(world.state.commit(transaction).outcome, store::Outcome::ok);
  world.run_until(12);
  world.cloud.capacity = 12;
  world.run_until(70);
  EXPECT_EQ(world.rules.present("job-1"), 8U) << "started, as a second attempt";
  world.cancel("job-1");
  world.run_until(85);
  EXPECT_EQ(told(world, "job-1"), JobState::cancelled);
  EXPECT_TRUE(world.state.items().contains(store::final_key("job-1")));
  expect_rules(world);
}

// --- heartbeats that are held back ------------------------------------------------------

/// Until a new leader has acted, or from seconds to well over a lease: the first
/// word that a leader hears of a machine may be one of an earlier epoch, or of
/// an earlier attempt.
TEST(DelayedHeartbeats, SayNothingOfTheTasksThatCameAfter) {
  for (int held = 2; held < 40; held += 4) {
    World world(2600 + static_cast<unsigned>(held));
    world.cloud.capacity = 10;
    world.submit(array(1, 8, 25));
    world.submit(array(2, 8, 3000));
    world.run_until(25);
    for (auto& [id, worker] : world.workers) {
      worker->copies = 1;
      worker->copy_after = held;
    }
    world.run_until(30);
    // Some lose their lease, and their tasks start in a later epoch.
    for (auto& [id, worker] : world.workers) worker->cut = world.random() < 0.4;
    world.run_until(43);
    for (auto& [id, worker] : world.workers) worker->cut = false;
    world.crash(leader_index(world), 0.1);
    world.run_until(50);
    world.cancel("job-2");
    world.crash(leader_index(world), held % 8 == 2 ? 0.1 : 6);
    world.run_until(190);
    EXPECT_EQ(told(world, "job-1"), JobState::done) << held;
    EXPECT_EQ(told(world, "job-2"), JobState::cancelled) << held;
    ASSERT_EQ(world.rules.first_broken(), "") << held;
  }
}

// --- a zone apart --------------------------------------------------------------------

/// With workers and a controller, for longer than a lease, while jobs that run
/// there are cancelled outside: the zone can't hear of it.
TEST(ZonePartition, WhatIsCancelledOutsideEndsInsideInTime) {
  for (int length = 8; length < 80; length += 6) {
    World world(2900 + static_cast<unsigned>(length), 4);
    world.cloud.capacity = 30;
    world.submit(array_in("south", 1, 4, 3000));
    world.submit(array_in("north", 2, 4, 3000));
    world.run_until(45);
    if (length % 4 == 0) lead_from_north(world);
    const double at = world.loop.now();
    world.cut_zone("south");
    world.run_until(at + 1 + length % 5);
    ASSERT_TRUE(world.cancel_at(0, "job-1", 5) || world.cancel_at(2, "job-1", 5));
    world.run_until(at + length);
    world.restore_zone("south");
    world.run_until(at + 150);
    EXPECT_EQ(told(world, "job-1"), JobState::cancelled) << length;
    EXPECT_EQ(placed(world, "job-2"), 4U) << length;
    ASSERT_EQ(world.rules.first_broken(), "") << length;
  }
}

/// The transaction of a delegation that was given up is applied after the next one's:
/// it must not hang the record on a lease that nobody renews.
TEST(ZonePartition, ADelegationWrittenLateDoesNotReplaceTheNext) {
  World world(2990);
  world.cloud.capacity = 20;
  world.submit(array_in("south", 1, 2, 3000));
  world.run_until(45);
  lead_from_north(world);
  const auto* worker = worker_of(world, "job-1");
  ASSERT_NE(worker, nullptr);
  for (auto& [id, one] : world.workers) one->cut = true;  // we speak for them
  auto heartbeat = heartbeat_of(*worker, 1, 1000, world.leader()->leader()->token());
  const auto send = [&] {
    ++heartbeat.sequence;
    world.send_to_node(1, {"POST", "/v1/report", wire::encode_heartbeat(heartbeat)},
                       [](const net::Response&) {});
  };
  world.network.part_zones();
  world.run_for(3);
  // The first attempt seems lost, and is applied when the second has its record.
  world.store(1).faults = {false, 0, 0, 1, 3.6};
  send();
  world.run_for(1.7);
  world.store(1).faults = {};
  send();
  world.run_for(0.1);
  const auto care = store::delegation_key("node-1");
  ASSERT_TRUE(world.state.items().contains(care));
  for (int i = 0; i < 60; ++i) {
    world.run_for(0.1);
    ASSERT_TRUE(world.state.items().contains(care)) << "whoever may answer has its record";
  }
}

}  // namespace
}  // namespace elmstall::test
