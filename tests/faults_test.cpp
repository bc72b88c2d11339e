// The faults that came with the grown deployments, one at a time, and the
// commands that go straight to the workers.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

// --- direct commands (safety rules 2 and 4) -------------------------------------------

/// Heartbeats are 10 s apart on large sites: a start must not wait for one.
TEST(CommandRpc, StartsDoNotWaitForAHeartbeat) {
  World world(31);
  world.settings.heartbeat_interval_s = 6;  // of the workers
  world.submit(array(1, 1, 400));           // leaves room on its machine
  world.run_until(60);
  ASSERT_EQ(placed(world, "job-1"), 1U);
  auto second = array(2, 1, 400);
  second.image_gb = 0;
  const auto before = world.rules.starts();
  world.submit(second);
  world.run_until(61.2);
  EXPECT_EQ(world.rules.starts(), before + 1) << "there was room, and a second is enough";
  expect_rules(world);
}

/// A command RPC without an answer may be carried out much later: until the
/// machine has shown a higher token its task is given to nobody else.
TEST(CommandRpc, ALostCommandRpcIsFenced) {
  for (unsigned seed = 1; seed <= 30; ++seed) {
    World world(400 + seed);
    world.submit(array(1, 4, 15));
    world.run_until(20);
    // All that is sent now is held on the way, or lost, or answered in vain.
    for (auto& [id, worker] : world.workers) worker->responses_dropped = true;
    world.submit(array(2, 6, 15));
    world.run_until(24);
    world.cancel("job-1");
    world.run_until(26 + seed % 8);
    for (auto& [id, worker] : world.workers) worker->responses_dropped = false;
    world.run_until(200);
    world.poll("job-2");
    world.run_until(202);
    EXPECT_EQ(world.last_told("job-2"), JobState::done) << seed;
    ASSERT_EQ(world.rules.first_broken(), "") << seed;
  }
}

TEST(CommandRpc, WithoutTheDirectWayCommandsRideOnHeartbeats) {
  World world(32);
  world.network.command_rpcs_blocked = true;
  world.submit(array(1, 6, 5));
  world.run_until(120);
  world.poll("job-1");
  world.run_until(122);
  EXPECT_EQ(world.last_told("job-1"), JobState::done);
  expect_rules(world);
}

/// A direct order that arrives after the attempt was cleared must not revive
/// it, nor one after the cancellation.
TEST(CommandRpc, LateCopiesReviveNothing) {
  World world(33);
  world.cloud.capacity = 1;
  world.submit(array(1, 1, 5));
  world.run_until(20);
  auto* worker = worker_of(world, "job-1");
  ASSERT_NE(worker, nullptr);
  auto& model = world.leader()->leader()->model();
  auto* machine = model.find_machine(worker->id());
  ASSERT_NE(machine, nullptr);
  const auto token = world.leader()->leader()->token() + machine->fence;
  const auto epoch = machine->epoch;
  const auto* task = *machine->tasks.begin();
  const wire::WorkerCommand order{wire::Verb::run, "job-1", task->index, task->attempt, 0};
  // The next command RPC is carried out, but nobody hears of it.
  world.network.command_replies_lost = true;
  world.submit(array(2, 1, 5));
  world.run_until(26);
  world.network.command_replies_lost = false;
  EXPECT_GT(world.leader()->leader()->token() + machine->fence, token) << "the fence was raised";
  world.run_until(50);
  for (const char* id : {"job-1", "job-2"}) world.poll(id);
  world.run_until(52);
  ASSERT_EQ(world.last_told("job-1"), JobState::done);
  ASSERT_EQ(world.last_told("job-2"), JobState::done);
  const auto starts = world.rules.starts();
  EXPECT_EQ(starts, 2U);
  EXPECT_EQ(worker->on_command_rpc(token, epoch, {order}).outcome,
            clients::CommandResult::Outcome::refused);
  world.run_until(60);
  EXPECT_EQ(world.rules.starts(), starts);
  expect_rules(world);
}

// --- unresponsive machines ------------------------------------------------------------------

TEST(UnresponsiveMachine, ItsTasksGoOnElsewhereAndItGetsNoWorkUntilItHears) {
  World world(34);
  world.submit(array(1, 4, 300));
  world.run_until(40);
  auto* worker = worker_of(world, "job-1");
  ASSERT_NE(worker, nullptr);
  worker->responses_dropped = true;
  world.run_until(67);  // its lease is over, and the next one too
  auto& model = world.leader()->leader()->model();
  auto* machine = model.find_machine(worker->id());
  ASSERT_NE(machine, nullptr);
  EXPECT_TRUE(machine->unresponsive);
  EXPECT_TRUE(machine->tasks.empty());
  EXPECT_EQ(placed(world, "job-1"), 4U) << "elsewhere";
  world.submit(array(2, 8, 300));
  world.run_until(75);
  EXPECT_TRUE(machine->tasks.empty()) << "no new work for an unresponsive machine";
  worker->responses_dropped = false;
  world.run_until(84);
  EXPECT_FALSE(machine->unresponsive);
  world.submit(array(3, 12, 300));
  world.run_until(95);
  EXPECT_FALSE(machine->tasks.empty()) << "used again";
  expect_rules(world);
}

TEST(UnresponsiveMachine, ThatStaysSoIsReturned) {
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
  EXPECT_EQ(placed(world, "job-1"), 8U);
  expect_rules(world);
}

// --- late copies of heartbeats ------------------------------------------------------------

/// Across epochs, takeovers and a machine's return: they change nothing.
TEST(LateCopies, OfHeartbeatsChangeNothing) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    World world(500 + seed);
    world.submit(array(1, 12, 25));
    world.submit(array(2, 6, 8));
    world.run_until(10);
    for (double t = 10; t < 160; t += 5) {
      for (auto& [id, worker] : world.workers) worker->copies = 0.5;
      if (static_cast<int>(t) % 40 == 30) world.crash(leader_index(world), 0.3);
      world.run_until(t);
    }
    for (const char* id : {"job-1", "job-2"}) world.poll(id);
    world.run_until(163);
    EXPECT_EQ(world.last_told("job-1"), JobState::done) << seed;
    EXPECT_EQ(world.last_told("job-2"), JobState::done) << seed;
    ASSERT_EQ(world.rules.first_broken(), "") << seed;
  }
}

// --- machines that die while a zone is delegated -----------------------------------------

/// A retirement was once refused while anybody took care of any zone, and the
/// refusal failed all that was to be recorded beside it: starts and ends of all
/// zones stood still for as long as one zone was cut.
TEST(DeadMachine, IsGivenUpThoughAnotherZoneHasADelegate) {
  World world(43);
  world.cloud.capacity = 20;
  world.submit(array_in("north", 1, 5, 2000));
  world.submit(array_in("south", 2, 4, 2000));
  world.run_until(45);
  ASSERT_EQ(placed(world, "job-1"), 5U);
  ASSERT_EQ(placed(world, "job-2"), 4U);
  lead_from_north(world);
  world.network.cut_peer_links(1);  // the only controller of the south
  world.run_until(60);
  ASSERT_FALSE(world.leader()->mirror().delegations().empty()) << "the south is in care";
  world.cloud.down = true;  // no help from there
  auto* dead = worker_of(world, "job-1");
  ASSERT_NE(dead, nullptr);
  dead->die();
  world.submit(array_in("north", 3, 1, 20));  // ends when the dead machine's lease of 10 s is over
  world.run_until(95);
  ASSERT_FALSE(world.leader()->mirror().delegations().empty());
  auto* machine = world.leader()->leader()->model().find_machine(dead->id());
  ASSERT_NE(machine, nullptr);
  EXPECT_TRUE(machine->tasks.empty()) << "given up";
  world.poll("job-3");
  world.run_until(97);
  EXPECT_EQ(world.last_told("job-3"), JobState::done) << "others went on";
  expect_rules(world);
}

// --- zones cut off from everything --------------------------------------------------------

/// Four controllers, two of them in each zone, with half of a job in the south;
/// the leader is in the north.
void start_in_both_zones(World& world) {
  world.cloud.capacity = 30;
  world.submit(array_in("north", 1, 4, 3000));
  world.submit(array_in("south", 2, 4, 3000));
  world.run_until(45);
  lead_from_north(world);
  ASSERT_EQ(placed(world, "job-1"), 4U);
  ASSERT_EQ(placed(world, "job-2"), 4U);
}

/// A zone that is cut off from the state service too can record no care. Its
/// controllers act as an unrecorded delegate for W, and its tasks outlive the cut.
TEST(ZoneCut, TasksOutliveLeaderLeaseAndWorkerLease) {
  World world(45, 4);
  start_in_both_zones(world);
  const auto starts = world.rules.starts();
  const double at = world.loop.now();
  world.cut_zone("south");
  world.run_until(at + 30);  // W is 28.5 s, the lease 10 s
  EXPECT_EQ(placed(world, "job-2"), 4U) << "not given up";
  world.restore_zone("south");
  world.run_until(at + 60);
  EXPECT_EQ(placed(world, "job-2"), 4U);
  EXPECT_EQ(world.rules.starts(), starts) << "nothing had to be started again";
  expect_rules(world);
}

/// The only controller of its zone can't tell whether the zone is cut off or
/// only itself: a worker that was sent away and is back found no other.
TEST(ZoneCut, ALoneControllerAnswersWhoComesBack) {
  World world(47);
  world.cloud.capacity = 20;
  world.submit(array_in("south", 1, 2, 3000));
  world.run_until(45);
  lead_from_north(world);
  auto* worker = worker_of(world, "job-1");
  ASSERT_NE(worker, nullptr);
  const auto heartbeat = heartbeat_of(*worker, 1, 1, world.leader()->leader()->token());
  worker->cut = true;  // we speak for it
  world.cut_zone("south");
  world.run_for(5);
  const auto ask = [&](double patience) {
    const auto answer =
        world.response_of(1, {"POST", "/v1/report", wire::encode_heartbeat(heartbeat)}, patience);
    return answer ? answer->status : 0;
  };
  EXPECT_EQ(ask(4), 503);
  EXPECT_EQ(ask(0.1), 200);
  world.run_for(25);
  EXPECT_NE(ask(4), 200) << "its authority is over";
  expect_rules(world);
}

/// A longer one ends them; they are started again only when that is certain,
/// whenever the cut ends, and whatever the machines and the controllers inside
/// did meanwhile.
TEST(ZoneCut, WhatIsGivenUpRunsNowhere) {
  for (int length = 24; length < 90; length += 6) {
    World world(700 + static_cast<unsigned>(length), 4);
    start_in_both_zones(world);
    auto anywhere = array(3, 6, 3000);  // may run in either zone
    world.submit(anywhere);
    world.run_for(30);
    const double at = world.loop.now();
    world.cut_zone("south");
    world.run_until(at + 10);
    if (length % 4 == 0) world.crash(1, 0.2);
    if (length % 12 == 0) world.cancel("job-3");
    world.run_until(at + length);
    world.restore_zone("south");
    world.run_until(at + 130);
    EXPECT_EQ(placed(world, "job-2"), 4U) << length;
    EXPECT_EQ(placed(world, "job-3"), length % 12 == 0 ? 0U : 6U) << length;
    ASSERT_EQ(world.rules.first_broken(), "") << length;
  }
}

/// Machines that died are given up at the end of their lease though all
/// controllers of their zone are there to have answered them.
TEST(ZoneCut, ADeadMachineWaitsForNoLeaderLease) {
  World world(46, 4);
  start_in_both_zones(world);
  world.cloud.down = true;
  auto* dead = worker_of(world, "job-2");
  ASSERT_NE(dead, nullptr);
  dead->die();
  world.run_for(13.5);  // its lease is 10 s, a heartbeat 0.8 s
  EXPECT_TRUE(world.leader()->leader()->model().find_machine(dead->id())->tasks.empty());
  expect_rules(world);
}

// --- machines that hang, controllers that stand still ----------------------------------------

/// With commands held for them, for less and for more than their lease.
TEST(HungMachine, GoesOnAndRunsNothingTwice) {
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
    for (const char* id : {"job-1", "job-2", "job-3"}) world.poll(id);
    world.run_until(163);
    EXPECT_EQ(world.last_told("job-1"), JobState::done) << length;
    EXPECT_EQ(world.last_told("job-2"), JobState::cancelled) << length;
    EXPECT_EQ(world.last_told("job-3"), JobState::done) << length;
    ASSERT_EQ(world.rules.first_broken(), "") << length;
  }
}

/// Leader, zone delegate and follower stand still for longer than each of their
/// leases while their clocks run on, and wake with old thoughts.
TEST(FrozenController, DoesNothingOnWakingAfterItsLeaderLease) {
  for (int length = 2; length < 60; length += 4) {
    for (std::size_t role = 0; role < 3; ++role) {
      World world(900 + static_cast<unsigned>(length) + static_cast<unsigned>(role));
      world.cloud.capacity = 16;
      world.submit(array(1, 8, 15));
      world.submit(array(2, 6, 2000));
      world.run_until(25);
      const auto lead = leader_index(world);
      const auto node = role == 0 ? lead : 1;
      if (role == 1) {  // delegated of the south
        world.network.cut_peer_links(1);
        world.run_until(32);
      }
      world.submit(array(3, 6, 10));
      world.run_for(0.03);  // some of it is under way
      world.freeze(node, length);
      world.run_for(1);
      world.cancel("job-2");
      world.run_for(length);
      world.network.restore_peer_links(1);
      world.run_until(200);
      for (const char* id : {"job-1", "job-2", "job-3"}) world.poll(id);
      world.run_until(203);
      EXPECT_EQ(world.last_told("job-1"), JobState::done) << length << " " << role;
      EXPECT_EQ(world.last_told("job-2"), JobState::cancelled) << length << " " << role;
      EXPECT_EQ(world.last_told("job-3"), JobState::done) << length << " " << role;
      ASSERT_EQ(world.rules.first_broken(), "") << length << " " << role;
    }
  }
}

/// A poll that was under way when its node stood still is not answered on
/// waking with what was true before.
TEST(FrozenController, AnswersNobodyWithWhatItKnewBefore) {
  World world(48);
  world.submit(array(1, 1, 3));
  world.run_until(5);
  for (const double delay : {0.0003, 0.002, 0.004, 0.006, 0.02}) {
    std::optional<net::Response> answer;
    world.send_to_node(0, {"GET", "/api/jobs/job-1", {}},
                       [&](net::Response response) { answer = std::move(response); });
    world.run_for(delay);
    const bool before = answer.has_value();
    world.freeze(0, 20);
    world.run_for(25);
    ASSERT_TRUE(answer) << delay;
    if (before || answer->status != 200) continue;
    EXPECT_EQ(wire::decode_status(wire::Document::parse(answer->body).root()).state, JobState::done)
        << delay << ": it was over long ago";
  }
  expect_rules(world);
}

// --- a controller apart ------------------------------------------------------------------

/// Without the state service and the other controllers, but with its workers:
/// first the leader, then a follower.
TEST(ControllerApart, ItsWorkersAreTakenOverInTime) {
  for (const bool leader : {true, false}) {
    World world(36);
    auto job = array(1, 6, 1000);
    world.submit(job);
    world.run_until(45);
    ASSERT_EQ(placed(world, "job-1"), 6U);
    const auto lead = leader_index(world);
    const auto apart = leader ? lead : (lead + 1) % 3;
    world.store(apart).faults.refused = true;
    world.network.cut_peer_links(apart);
    world.cancel("job-1");
    world.run_until(90);
    EXPECT_NE(world.leader(), nullptr);
    EXPECT_NE(leader_index(world), apart);
    world.poll("job-1");
    world.run_until(93);
    EXPECT_EQ(world.last_told("job-1"), JobState::cancelled);
    world.submit(array(2, 2, 5));
    world.run_until(140);
    world.store(apart).faults.refused = false;
    world.network.restore_peer_links(apart);
    for (int i = 0; i < 10; ++i) {
      world.poll("job-2");
      world.run_until(142 + i * 2);
    }
    EXPECT_EQ(world.last_told("job-2"), JobState::done);
    expect_rules(world);
  }
}

/// Back within a fraction of a second, between the steps of an election.
TEST(InstantRestart, InTheMiddleOfAnElection) {
  for (int step = 0; step < 20; ++step) {
    World world(600 + static_cast<unsigned>(step));
    world.submit(array(1, 6, 30));
    world.run_until(30);
    for (std::size_t i = 0; i < 3; ++i) world.crash(i, 0.05);
    world.run_until(30.05 + step * 0.01);
    for (std::size_t i = 0; i < 3; ++i) world.crash(i, 0.02 + 0.03 * static_cast<double>(i));
    world.run_until(30.4 + step * 0.01);
    world.crash(static_cast<std::size_t>(step) % 3, 0.01);
    world.run_until(120);
    world.poll("job-1");
    world.run_until(122);
    EXPECT_EQ(world.last_told("job-1"), JobState::done) << step;
    ASSERT_EQ(world.rules.first_broken(), "") << step;
  }
}

// --- who is served -----------------------------------------------------------------------

/// Far more small jobs than there is room for: the large ones begin within four
/// minutes all the same, and half of either size is served.
TEST(Overload, TheLargestBeginWithinFourMinutesAndHalfOfAllIsServed) {
  World world(37);
  world.cloud.capacity = 4;  // eight tasks at once
  int number = 0;
  std::vector<std::string> large;
  std::map<std::string, double> began;
  std::map<std::string, double> asked;
  for (double t = 1; t < 400; t += 1) {
    world.run_until(t);
    if (t < 300 && static_cast<int>(t) % 3 == 0) world.submit(array(++number, 1, 20));
    if (t < 150 && static_cast<int>(t) % 30 == 5) {
      large.push_back("job-" + std::to_string(++number));
      asked[large.back()] = t;
      world.submit(array(number, 16, 10));
    }
    for (const auto& id : large) {
      if (!began.contains(id) && placed(world, id) > 0) began[id] = t;
    }
  }
  ASSERT_EQ(large.size(), 5U);
  std::size_t served = 0;
  for (const auto& id : large) {
    EXPECT_TRUE(began.contains(id)) << id;
    EXPECT_LT(began[id] - asked[id], 240) << id;
  }
  world.run_until(600);
  for (int i = 1; i <= number; ++i) world.poll("job-" + std::to_string(i));
  world.run_until(603);
  for (int i = 1; i <= number; ++i)
    served += world.last_told("job-" + std::to_string(i)) == JobState::done;
  EXPECT_GT(served * 2, static_cast<std::size_t>(number));
  std::size_t large_served = 0;
  for (const auto& id : large) large_served += world.last_told(id) == JobState::done;
  EXPECT_GE(large_served * 2, large.size());
  expect_rules(world);
}

/// A job so large that its size alone would put it behind all that comes within
/// the next minutes begins within four all the same.
TEST(Overload, AVeryLargeJobDoesNotWaitForAllThatIsSmaller) {
  World world(56);
  world.cloud.capacity = 4;
  world.submit(array(1, 8, 15));
  world.run_until(10);
  world.submit(array(2, 200, 10));
  int number = 2;
  double began = -1;
  for (double t = 11; t < 320; t += 1) {
    world.run_until(t);
    if (static_cast<int>(t) % 2 == 0) world.submit(array(++number, 1, 20));
    if (began < 0 && placed(world, "job-2") > 0) began = t;
  }
  EXPECT_GT(began, 10) << "never";
  EXPECT_LT(began, 250);
  expect_rules(world);
}

/// What can't be taken is answered at once, telling when to come back.
TEST(Overload, WhatCantBeTakenIsAnsweredAtOnce) {
  World world(38);
  world.run_until(5);
  world.stop_state_store();
  wire::Packer packer;
  wire::pack_job(packer, array(1, 1));
  const auto body = packer.take();
  std::size_t refused = 0;
  for (int i = 0; i < 200; ++i) {
    world.send_to_node(0, {"POST", "/api/jobs", body}, [&](const net::Response& response) {
      EXPECT_EQ(response.status, 503);
      EXPECT_GT(response.retry_after_s, 0);
      ++refused;
    });
  }
  world.run_until(5.1);
  EXPECT_GT(refused, 100U) << "beyond the limit at once";
  world.run_until(10);
  EXPECT_EQ(refused, 200U);
}

TEST(BadInput, TheWrongMethodIsRefused) {
  World world(44);
  for (const char* path : {"/v1/report", "/api/jobs", "/ready"}) {
    const auto answer = world.response_of(0, {"DELETE", path, {}}, 0.1);
    ASSERT_TRUE(answer) << path;
    EXPECT_EQ(answer->status, 405) << path;
  }
}

/// Polls without a pause once took a request of the state service each few
/// milliseconds, and with it the rate that all commits wait for.
TEST(Overload, PollsDoNotTakeTheStateServiceFromCommits) {
  World world(49);
  world.submit(array(1, 1, 500));
  world.run_until(20);
  const auto before = world.store(0).gets;
  std::size_t answered = 0;
  for (int i = 0; i < 2000; ++i) {
    world.send_to_node(0, {"GET", "/api/jobs/job-1", {}},
                       [&](const net::Response& response) { answered += response.status == 200; });
    world.run_for(0.005);
  }
  world.run_for(1);
  EXPECT_EQ(answered, 2000U);
  // Of 120 requests a second three nodes may take 0.3 in 11 s.
  EXPECT_LT(world.store(0).gets - before, 11 * 0.3 * 120 / 3 + 5);
}

/// A heartbeat with hundreds of tasks that nobody knows gets an answer of bounded
/// size, and the machine no work while it holds them.
TEST(BadInput, HundredsOfUnknownTasksAreAnsweredWithinBounds) {
  World world(42);
  world.run_until(5);
  wire::WorkerHeartbeat heartbeat{"host-999999", "", "m12", "north", false, 1, 1, 0,
                                  std::nullopt,  {}};
  for (std::uint32_t i = 0; i < 900; ++i)
    heartbeat.tasks.push_back(
        {"job-77", i, 1, wire::TaskState::running, wire::EndCause::none, false});
  const auto answer = world.response_of(
      leader_index(world), {"POST", "/v1/report", wire::encode_heartbeat(heartbeat)}, 1);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  EXPECT_LT(answer->body.size(), 64U * 1024);
  EXPECT_EQ(wire::decode_commands(wire::Document::parse(answer->body).root()).commands.size(),
            constants::kMaxCommands);
  EXPECT_TRUE(world.leader()->leader()->model().find_machine("host-999999")->has_unknown_jobs);
}

// --- fleet ---------------------------------------------------------------------------------

/// After a takeover what was found was once counted as having arrived at that
/// moment, and machines were rented for as much again.
TEST(Fleet, ATakeoverIsNoArrivalOfJobs) {
  World world(40);
  world.cloud.capacity = 60;
  for (int i = 1; i <= 6; ++i) {
    auto job = array(i, 4, 100);
    job.due_s = 110;  // urgent: nothing like it can wait for a boot
    world.submit(job);
  }
  world.run_until(50);
  const auto before = world.workers.size();
  world.crash(leader_index(world), 0.3);
  world.run_until(75);
  ASSERT_NE(world.leader(), nullptr);
  EXPECT_LE(world.workers.size(), before + 1);
  expect_rules(world);
}

/// A job bound to one zone once waited for ever beside idle machines of another,
/// and so did a gang larger than what acted as an unrecorded delegate any one zone.
TEST(Fleet, ZonesOfBoundWorkAreServed) {
  for (const char* zone : {"north", "south"}) {
    World world(41);
    auto bound = array(1, 6, 300);
    bound.zone = zone;
    bound.spot = false;
    world.submit(bound);
    auto gang = array(2, 8, 300);
    gang.kind = wire::JobKind::gang;
    gang.together = true;
    world.submit(gang);
    world.run_until(120);
    EXPECT_EQ(placed(world, "job-1"), 6U) << zone;
    EXPECT_EQ(placed(world, "job-2"), 8U) << zone;
    expect_rules(world);
  }
}

// --- what a decision costs ---------------------------------------------------------------

/// What decisions cost follows what happens, not batches times machines: on a
/// busy fleet of whatever size a machine is looked at when its heartbeat comes and once
/// a second, hardly more.
TEST(Planner, DecisionsLookAtWhatChangedNotAtTheFleet) {
  for (const int machines : {10, 80, 600}) {
    World world(39);
    world.cloud.capacity = machines;
    world.submit(array(1, static_cast<std::uint32_t>(machines) * 2, 2000));
    world.run_until(70);
    ASSERT_EQ(placed(world, "job-1"), static_cast<std::size_t>(machines) * 2);
    const auto before = world.leader()->leader()->planner().steps();
    world.run_until(90);
    const double events = 20.0 * machines * (1 / 1.5 + 1);
    EXPECT_LT(static_cast<double>(world.leader()->leader()->planner().steps() - before),
              1.5 * events)
        << machines;
  }
}

/// What an unchanged heartbeat costs, in bytes on the way and in machines looked
/// at, does not depend on the size of the fleet.
TEST(Reports, CostTheSameInASmallFleetAndInALargeOne) {
  std::map<int, std::size_t> bytes;
  for (const int machines : {20, 150, 600}) {
    World world(58);
    world.cloud.capacity = machines;
    world.submit(array(1, static_cast<std::uint32_t>(machines) * 2, 5000));
    world.run_until(80);
    ASSERT_EQ(placed(world, "job-1"), static_cast<std::size_t>(machines) * 2);
    auto& leader = *world.leader()->leader();
    auto* worker = worker_of(world, "job-1");
    ASSERT_NE(worker, nullptr);
    const auto* machine = leader.model().find_machine(worker->id());
    for (auto& [id, one] : world.workers)
      one->cut = true;  // we speak for one, the others are still
    world.run_for(0.3);
    auto heartbeat =
        heartbeat_of(*worker, machine->epoch, machine->sequence, leader.token() + machine->fence);
    show_tasks(heartbeat, *machine, wire::TaskState::running, wire::EndCause::none);
    const auto before = leader.planner().steps();
    constexpr int kReports = 18;  // in less than a second, each with a decision of its own
    for (int i = 0; i < kReports; ++i) {
      ++heartbeat.sequence;
      leader.on_heartbeat(heartbeat, [&](const net::Response& response) {
        EXPECT_EQ(response.status, 200);
        bytes[machines] = response.body.size();
      });
      leader.after_batch();
      world.run_for(0.051);
    }
    // And one review of all machines, which is due every second.
    EXPECT_LE(leader.planner().steps() - before,
              static_cast<std::size_t>(kReports * 5 + machines * 2))
        << machines;
  }
  EXPECT_EQ(bytes[20], bytes[600]);
  EXPECT_LT(bytes[600], 64U);
}

/// Forwarded heartbeats and their answers share writes, whatever the size of the
/// fleet: a packet costs a small controller more than the heartbeat in it.
TEST(Reports, ForwardedTogetherWithOthers) {
  std::map<int, double> flushes;
  for (const int machines : {60, 240}) {
    World world(59);
    world.cloud.capacity = machines;
    world.submit(array(1, static_cast<std::uint32_t>(machines) * 2, 5000));
    world.run_until(80);
    ASSERT_EQ(placed(world, "job-1"), static_cast<std::size_t>(machines) * 2);
    const auto messages = world.peer_traffic.messages;
    const auto writes = world.peer_traffic.flushes;
    constexpr double kSeconds = 20;
    world.run_for(kSeconds);
    const auto sent = static_cast<double>(world.peer_traffic.messages - messages);
    flushes[machines] = static_cast<double>(world.peer_traffic.flushes - writes);
    EXPECT_GT(sent, machines * kSeconds / 1.5) << "most reports are forwarded, each is answered";
    // Of each node: one every 50 ms, and its heartbeats.
    const auto nodes = static_cast<double>(world.node_count());
    EXPECT_LT(flushes[machines], nodes * kSeconds * (1 / 0.05 + 1 / 0.8) * 1.1) << machines;
  }
  EXPECT_LT(flushes[240], 3 * flushes[60]) << "four times the reports";
}

}  // namespace
}  // namespace elmstall::test
