// Where two faults meet: one test or more for each concurrent fault that users have
// named. Times and moments are drawn through, for most of these were broken
// only when the second fault began at one particular step of the first.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

void refuse_state(World& world, std::size_t node, bool refused) {
  world.store(node).road.refused = refused;
}

void all_late_writes(World& world, double share) {
  for (std::size_t i = 0; i < world.node_count(); ++i) world.store(i).road.late_writes = share;
}

/// Every worker's clock, and that of each node's next process, as far off as
/// the protocol allows.
void extreme_clocks(World& world) {
  for (auto& [id, worker] : world.workers) worker->clock = 0.9995;
}

// --- cancellations and leader lease ------------------------------------------------------

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
  if (!hears) world.cut_mesh(lead, true);
  refuse_state(world, lead, true);
  world.run_until(at + confirm_after);
  ASSERT_TRUE(world.cancel_at((lead + 1) % world.node_count(), "job-1")) << confirm_after;
  const double confirmed = world.loop.now();
  if (hang > 0) {
    for (auto& [id, worker] : world.workers) worker->hang(hang);
  }
  world.run_until(at + 1.5);
  world.state_down(true);
  const double gone_by = hears && hang <= 0 ? 5 : world.settings.cancel_s;
  world.run_until(confirmed + gone_by);
  EXPECT_EQ(world.rules.present("job-1"), 0U) << confirm_after;
  world.run_until(at + 75);
  world.state_down(false);
  refuse_state(world, lead, false);
  world.cut_mesh(lead, false);
  world.run_until(at + 130);
  EXPECT_EQ(told(world, "job-1"), JobState::cancelled) << confirm_after;
  EXPECT_EQ(placed(world, "job-2"), 4U) << confirm_after;
  ASSERT_TRUE(world.rules.broken().empty())
      << confirm_after << ": " << world.rules.broken().front();
}

/// Layer 1, the bound W: the leader hears of nothing.
TEST(StaleLeader, ALeaderThatHearsNobodyStopsInTime) {
  for (int step = 0; step < 12; ++step)
    play_gap(1000 + static_cast<unsigned>(step), 0.005 + step * 0.1, false, 0);
}

/// The bound at its edges: the refusal begins at every moment of a proof's
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
    world.cut_mesh(lead, true);
    refuse_state(world, lead, true);
    world.run_until(world.loop.now() + 0.001);
    ASSERT_TRUE(world.cancel_at((lead + 1) % 3, "job-1", 0.02));
    const double confirmed = world.loop.now();
    world.state_down(true);
    while (world.rules.present("job-1") > 0 && world.loop.now() < confirmed + 60)
      world.run_until(world.loop.now() + 0.01);
    longest = std::max(longest, world.loop.now() - confirmed);
    ASSERT_TRUE(world.rules.broken().empty()) << step << ": " << world.rules.broken().front();
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
    world.state_down(true);
    world.run_until(120);
    world.state_down(false);
    refuse_state(world, lead, false);
    world.run_until(170);
    EXPECT_EQ(told(world, "job-1"), JobState::cancelled) << length;
    ASSERT_TRUE(world.rules.broken().empty()) << length << ": " << world.rules.broken().front();
  }
}

/// Layer 2: while direct orders hang, one exchange after the other, no answer
/// renews a lease without ending the cancelled tasks that it would keep alive.
TEST(StaleLeader, AnAnswerBesideOrdersThatHangEndsCancelledTasks) {
  World world(1400);
  world.submit(array(1, 4, 3000));
  world.run_until(45);
  world.no_direct = true;  // each exchange takes its 2 s and fails
  auto* worker = worker_of(world, "job-1");
  ASSERT_NE(worker, nullptr);
  auto& leader = *world.leader()->leader();
  auto* host = leader.model().find_host(worker->id());
  ASSERT_TRUE(world.cancel_at(leader_index(world), "job-1", 0.05));
  for (int i = 0; i < 40 && !host->exchanging; ++i) world.run_until(world.loop.now() + 0.01);
  ASSERT_TRUE(host->exchanging) << "orders are under way";
  auto report = report_of(*worker, host->session, host->tick + 100, leader.token() + host->fence);
  show_tasks(report, *host, wire::TaskState::running, wire::EndCause::none);
  ASSERT_FALSE(report.tasks.empty());
  for (const int older : {0, 1}) {  // as news, and crossing the reply to an exchange
    report.tick -= static_cast<std::uint64_t>(older);
    host->exchanged_at = world.loop.now();
    const auto answer = world.answer_of(leader_index(world),
                                        {"POST", "/v1/report", wire::encode_report(report)}, 0.05);
    ASSERT_TRUE(answer);
    ASSERT_EQ(answer->status, 200);
    const auto orders = wire::decode_orders(wire::Document::parse(answer->body).root()).orders;
    EXPECT_EQ(orders.size(), report.tasks.size()) << older;
    for (const auto& order : orders) EXPECT_EQ(order.verb, wire::Verb::stop) << older;
  }
  world.no_direct = false;
  world.run_until(world.loop.now() + 30);
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
  world.no_direct = true;  // orders go with answers to reports
  world.submit(array(2, 8, 3000));
  while (placed(world, "job-2") == 0 && world.loop.now() < 60)
    world.run_until(world.loop.now() + 0.05);
  auto* worker = worker_of(world, "job-2");
  ASSERT_NE(worker, nullptr);
  for (auto& [id, one] : world.workers) one->cut = true;  // we speak for them
  world.run_until(world.loop.now() + 3);                  // recorded, and the direct way has failed
  const auto lead = leader_index(world);
  refuse_state(world, lead, true);
  world.cut_mesh(lead, true);
  const auto* host = world.leader()->leader()->model().find_host(worker->id());
  const auto starts_told = [&] {
    auto report = report_of(*worker, host->session, host->tick + 100,
                            host->fence + world.node(lead)->leader()->token());
    const auto answer =
        world.answer_of(lead, {"POST", "/v1/report", wire::encode_report(report)}, 0.05);
    if (!answer || answer->status != 200) return -1;
    const auto orders = wire::decode_orders(wire::Document::parse(answer->body).root()).orders;
    return static_cast<int>(std::count_if(orders.begin(), orders.end(), [](const auto& order) {
      return order.verb == wire::Verb::run;
    }));
  };
  EXPECT_GT(starts_told(), 0) << "just proved";
  ASSERT_TRUE(world.cancel_at((lead + 1) % 3, "job-2"));
  world.state_down(true);
  world.run_until(world.loop.now() + 5);
  EXPECT_EQ(starts_told(), 0) << "its lease is renewed, but nothing starts";
}

/// In an outage that all see nobody confirms anything, so work that is recorded
/// goes on to start.
TEST(StaleLeader, AnOutageThatAllSeeDoesNotStopStarts) {
  World world(1420);
  world.cloud.capacity = 4;
  world.submit(array(1, 8, 8));
  world.run_until(15);
  world.no_direct = true;
  world.submit(array(2, 8, 5));
  bool down = false;
  std::size_t starts = 0;
  for (double t = 15; t < 60; t += 0.05) {
    world.run_until(t);
    auto* job =
        world.leader() == nullptr ? nullptr : world.leader()->leader()->model().job("job-2");
    if (down || job == nullptr || job->on_hosts == 0) continue;
    // Recorded and not sent yet: the machines hear nothing for 6 s.
    for (auto& [id, worker] : world.workers) worker->answers_dropped = true;
    world.state_down(true);
    down = true;
    starts = world.rules.starts();
    world.run_until(t += 6);
    for (auto& [id, worker] : world.workers) worker->answers_dropped = false;
  }
  ASSERT_TRUE(down);
  EXPECT_GT(world.rules.starts(), starts)
      << "known for longer than a start may rest on, but nobody can have cancelled it";
  expect_rules(world);
}

// --- held up on the way ------------------------------------------------------------------

/// Orders are carried out seconds later, and the machine then goes on.
TEST(DelayedOrders, AreVoidOrOverInTime) {
  for (int hold = 1; hold < 60; hold += 5) {
    World world(1500 + static_cast<unsigned>(hold));
    world.submit(array(1, 8, 20));
    world.run_until(20);
    world.hold_orders = hold;
    world.submit(array(2, 8, 3000));
    world.submit(array(3, 8, 10));
    world.run_until(24 + hold % 7);
    world.cancel("job-2");
    world.run_until(35);
    world.hold_orders = 0;
    for (auto& [id, worker] : world.workers) {
      if (world.random() < 0.5) worker->hang(hold % 9);
    }
    world.run_until(170);
    EXPECT_EQ(told(world, "job-2"), JobState::cancelled) << hold;
    EXPECT_EQ(told(world, "job-3"), JobState::done) << hold;
    ASSERT_TRUE(world.rules.broken().empty()) << hold << ": " << world.rules.broken().front();
  }
}

/// A `run` is held on its way while a zone delegate keeps the machine's lease: when
/// it arrives the job was cancelled longer than `cancel_s` ago.
TEST(DelayedOrders, AZoneDelegateKeepsNoLeaseUnderWhichACancelledTaskMayStart) {
  World world(1560);
  world.cloud.capacity = 20;
  world.submit(array_in("south", 1, 3, 3000));  // leaves room on a machine
  world.run_until(45);
  lead_from_north(world);
  ASSERT_EQ(placed(world, "job-1"), 3U);
  world.hold_orders = 70;
  auto held = array_in("south", 2, 1, 3000);
  held.image_gb = 0;  // runs as soon as it is told to
  world.submit(held);
  for (int i = 0; i < 200 && placed(world, "job-2") == 0; ++i)
    world.run_until(world.loop.now() + 0.02);
  world.run_until(world.loop.now() + 0.4);  // the exchange is under way
  world.part_zones(true);
  world.run_until(world.loop.now() + 8);
  ASSERT_FALSE(world.node(1)->mirror().delegations().empty()) << "in care";
  world.cancel("job-2");
  world.run_until(world.loop.now() + 70);
  world.part_zones(false);
  world.hold_orders = 0;
  world.run_until(world.loop.now() + 60);
  EXPECT_EQ(told(world, "job-2"), JobState::cancelled);
  expect_rules(world);
}

// --- more work than room, over slow links -----------------------------------------------------

TEST(SlowLinks, UrgentAndOtherWorkOverSlowLinksIsServedAndAnswered) {
  World world(1600);
  world.cloud.capacity = 6;  // twelve tasks at once
  world.loss = 0.05;
  for (std::size_t i = 0; i < 3; ++i) world.store(i).road.slow = 0.5;
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
  world.loss = 0;
  for (std::size_t i = 0; i < 3; ++i) world.store(i).road.slow = 0;
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
    EXPECT_GT(world.answered_at(id), over + 85) << id;
    done += world.last_told(id) == JobState::done;
  }
  EXPECT_GT(done * 2, static_cast<std::size_t>(number));
  expect_rules(world);
}

// --- machines whose reports do not arrive
// --------------------------------------------------------------------------------

/// They reach no controller, while direct commands reach them: a reply to those
/// once counted as a report, and what was started there died with its lease.
TEST(LostReports, NothingIsStartedOnAMachineThatCanNotReport) {
  World world(1700);
  world.cloud.capacity = 2;
  world.submit(array(1, 3, 3000));  // leaves room on one machine
  world.run_until(45);
  ASSERT_EQ(placed(world, "job-1"), 3U);
  auto& hosts = world.leader()->leader()->model().hosts();
  const auto found = std::find_if(hosts.begin(), hosts.end(), [](const auto& entry) {
    return entry.second->tasks.size() == 1;
  });
  ASSERT_NE(found, hosts.end());
  const auto* host = found->second.get();
  auto* worker = world.workers.at(host->id).get();
  worker->reports_dropped = true;
  world.cloud.down = true;  // it stays for now
  const double at = world.loop.now();
  // Each is started, called off and thus asked about by direct orders.
  for (int i = 2; i < 10; ++i) {
    auto job = array(i, 1, 3000);
    job.image_gb = 0;
    world.submit(job);
    world.run_until(at + 2 * i - 2.5);
    const bool there = std::any_of(host->tasks.begin(), host->tasks.end(),
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

/// Commands go out to them all the same, and many mute at once are a cut.
TEST(LostReports, CancelledTasksEndThereAndManyAreKept) {
  World world(1710);
  world.cloud.capacity = 8;
  world.submit(array(1, 8, 3000));
  world.run_until(45);
  std::vector<FakeWorker*> reports_dropped;
  for (auto& [id, worker] : world.workers) {
    worker->reports_dropped = true;
    if (!worker->dead()) reports_dropped.push_back(worker.get());
  }
  world.run_until(47);
  ASSERT_TRUE(world.cancel_at(leader_index(world), "job-1"));
  world.run_until(50);
  EXPECT_EQ(world.rules.present("job-1"), 0U);
  world.run_until(70);
  for (auto* worker : reports_dropped) {
    EXPECT_FALSE(worker->dead()) << "all at once are not given up";
    worker->reports_dropped = false;
  }
  world.submit(array(2, 8, 10));
  world.run_until(140);
  EXPECT_EQ(told(world, "job-2"), JobState::done);
  expect_rules(world);
}

// --- transactions that are carried out late
// --------------------------------------------------------

/// Without an answer, and after newer ones of the same controller.
TEST(DelayedCommits, ChangeNothingThatWasSaidSince) {
  for (unsigned seed = 1; seed <= 16; ++seed) {
    World world(1800 + seed);
    world.run_until(2);
    all_late_writes(world, 0.3);
    for (int i = 1; i <= 8; ++i) {
      world.submit(array(i, 1 + static_cast<std::uint32_t>(i % 4), 6));
      world.run_until(2 + i * 3);
    }
    world.cancel("job-2");
    world.cancel("job-5");
    if (seed % 2 == 0) world.crash(leader_index(world), 0.2);
    world.run_until(70);
    all_late_writes(world, 0);
    world.run_until(180);
    for (int i = 1; i <= 8; ++i) {
      const auto id = "job-" + std::to_string(i);
      const auto state = told(world, id);
      EXPECT_TRUE(state == JobState::done || state == JobState::cancelled) << seed << " " << id;
    }
    ASSERT_TRUE(world.rules.broken().empty()) << seed << ": " << world.rules.broken().front();
  }
}

/// The transaction of a candidacy that was given up is applied after all, while
/// the next one's lease is there already: the leader renews the lease that its
/// record hangs on, and stays.
TEST(DelayedCommits, ACandidacyThatWinsLateKeepsItsOwnLease) {
  std::size_t late_wins = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    World world(1850 + seed);
    world.run_until(5);
    // All stand anew, and their transactions are applied after they were given
    // up, a little before the leases end that they hang on.
    for (std::size_t i = 0; i < 3; ++i) world.crash(i, 0.01);
    world.run_until(5.02);
    for (std::size_t i = 0; i < 3; ++i) world.store(i).road = {false, 0, 0, 1, 1.9 + 0.04 * seed};
    while (world.leader() == nullptr && world.loop.now() < 20)
      world.run_until(world.loop.now() + 0.05);
    for (std::size_t i = 0; i < 3; ++i) world.store(i).road = {};
    ASSERT_NE(world.leader(), nullptr) << seed;
    late_wins += world.loop.now() < 8;
    const auto term = world.leader()->leader()->term();
    world.run_until(world.loop.now() + 20);
    ASSERT_NE(world.leader(), nullptr) << seed;
    EXPECT_EQ(world.leader()->leader()->term(), term) << seed;
  }
  EXPECT_GT(late_wins, 0U);
}

/// The leadership was won, but the winner's watch tells it only when the lease
/// has run out: it may stand again, or in the end nobody does.
TEST(DelayedCommits, WhoHearsTooLateOfItsElectionStartsAnother) {
  World world(1890);
  world.run_until(5);
  std::set<std::string> held;
  world.state.on_commit = [&](const wire::Txn& txn) {
    for (const auto& write : txn.writes) {
      if (write.key != ledger::kLeadKey || !write.value) continue;
      const auto node = ledger::decode_lead(*write.value).node;
      if (!held.insert(node).second) continue;
      const auto index = static_cast<std::size_t>(node.back() - '0');
      world.store(index).road.watch_held = true;
      world.loop.after(6, [&world, index] { world.store(index).road.watch_held = false; });
    }
  };
  for (std::size_t i = 0; i < 3; ++i) world.crash(i, 0.01);
  world.run_until(45);
  EXPECT_GE(held.size(), 2U) << "they were elected and did not hear of it";
  ASSERT_NE(world.leader(), nullptr);
}

// --- everybody away
// ------------------------------------------------------------------------------------

/// For longer than a lease, with a cancellation before or after.
TEST(AllControllersDown, TasksAreStartedAgainAndCancelledOnesAreNot) {
  for (int away = 2; away < 40; away += 3) {
    World world(1900 + static_cast<unsigned>(away));
    world.submit(array(1, 8, 40));
    world.submit(array(2, 6, 3000));
    world.run_until(30);
    const bool before = away % 2 == 0;
    if (before) world.cancel("job-2");
    world.run_until(30.1);
    for (std::size_t i = 0; i < 3; ++i) world.crash(i, away + 0.3 * static_cast<double>(i));
    world.run_until(31 + away);
    if (!before) world.cancel("job-2");
    world.run_until(190);
    EXPECT_EQ(told(world, "job-1"), JobState::done) << away;
    EXPECT_EQ(told(world, "job-2"), JobState::cancelled) << away;
    ASSERT_TRUE(world.rules.broken().empty()) << away << ": " << world.rules.broken().front();
  }
}

// --- cancelled in the moment of the refusal
// --------------------------------------------------------------

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
    world.state_down(true);
    world.run_until(at + 56);
    world.state_down(false);
    refuse_state(world, lead, false);
    world.run_until(at + 130);
    for (int i = 1; i <= 5; ++i)
      EXPECT_EQ(told(world, "job-" + std::to_string(i)), JobState::cancelled) << step;
    EXPECT_EQ(placed(world, "job-6"), 4U) << step;
    ASSERT_TRUE(world.rules.broken().empty()) << step << ": " << world.rules.broken().front();
  }
}

// --- bound to a zone
// ---------------------------------------------------------------------------------------

/// Services and arrays that may not run anywhere lose machines, with orders lost
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
      world.lose_replies = round % 2 == 0;
      if (round == 3) world.crash(leader_index(world), 0.3);
      world.run_until(world.loop.now() + 7);
      for (auto& [id, worker] : world.workers) worker->cut = false;
      world.cloud.capacity = 30;
    }
    world.lose_replies = false;
    world.run_until(world.loop.now() + 120);
    for (const auto& [id, tasks] : std::map<std::string, std::size_t>{
             {"job-1", 5}, {"job-2", 5}, {"job-3", 4}, {"job-4", 3}}) {
      EXPECT_EQ(placed(world, id), tasks) << seed << " " << id;
    }
    ASSERT_TRUE(world.rules.broken().empty()) << seed << ": " << world.rules.broken().front();
  }
}

/// A machine does not move: a report that names another zone once took its tasks
/// out of the count of a zone in which they had never been counted.
TEST(ZoneBoundWork, AReportThatNamesAnotherZoneChangesNoCount) {
  World world(2150);
  world.submit(service(1, 4));
  world.run_until(60);
  ASSERT_EQ(placed(world, "job-1"), 4U);
  auto* worker = worker_of(world, "job-1");
  auto& leader = *world.leader()->leader();
  auto* host = leader.model().find_host(worker->id());
  const auto* job = leader.model().job("job-1");
  worker->cut = true;  // we speak for it
  auto report = report_of(*worker, host->session, host->tick + 100, leader.token() + host->fence);
  report.zone = worker->zone() == "north" ? "south" : "north";
  show_tasks(report, *host, wire::TaskState::ended, wire::EndCause::error);
  // Straight to the leader: its node would send the worker to the other zone.
  int status = 0;
  leader.on_report(report, [&](const net::Response& response) { status = response.status; });
  ASSERT_EQ(status, 200);
  std::size_t counted = 0;
  for (const auto& [zone, count] : job->per_zone) {
    ASSERT_LE(count, 4U) << zone;
    counted += count;
  }
  EXPECT_EQ(counted, job->on_hosts);
  EXPECT_EQ(host->zone, worker->zone());
}

// --- a team at its limit
// -----------------------------------------------------------------------------------

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
      if (seed % 3 == 0) worker->answers_dropped = !worker->cut;
    }
    world.crash(leader_index(world), seed % 2 == 0 ? 0.2 : 8);
    world.run_until(46.5 + 0.5 * seed);
    world.cancel("job-1");
    world.run_until(70);
    for (auto& [id, worker] : world.workers) worker->cut = worker->answers_dropped = false;
    world.run_until(180);
    EXPECT_EQ(told(world, "job-1"), JobState::cancelled) << seed;
    EXPECT_EQ(told(world, "job-2"), JobState::done) << seed;
    ASSERT_TRUE(world.rules.broken().empty()) << seed << ": " << world.rules.broken().front();
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
  wire::Report report{"host-999999",  "",           "m12", "north", true, 1, 1,
                      leader.token(), std::nullopt, {}};
  for (std::uint32_t i = 0; i < 2; ++i)
    report.tasks.push_back({"job-1", i, 77, wire::TaskState::running, wire::EndCause::none, false});
  const auto send = [&] {
    return world.answer_of(leader_index(world), {"POST", "/v1/report", wire::encode_report(report)},
                           0.2);
  };
  ASSERT_TRUE(send());
  EXPECT_DOUBLE_EQ(leader.model().usage("red").gpus, 8);
  ++report.tick;
  ASSERT_TRUE(send());
  EXPECT_DOUBLE_EQ(leader.model().usage("red").gpus, 8) << "counted once";
  ++report.tick;
  report.tasks.clear();
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
  ledger::BlockRecord record;
  record.done.assign(8, false);
  for (std::uint32_t i = 0; i < 8; ++i) record.tasks.push_back({i, 1, "host-gone"});
  std::vector<std::string> blocks{ledger::pack(ledger::BlockEntry{"job-1", 0, record}).bytes};
  wire::Txn txn;
  txn.writes = {{ledger::slot_key(0), ledger::encode_slot(1'000, blocks, {}), 0}};
  for (std::size_t i = 0; i < 3; ++i) world.crash(i, 0.3);
  ASSERT_EQ(world.state.commit(txn).outcome, ledger::Outcome::ok);
  world.run_until(12);
  world.cloud.capacity = 12;
  world.run_until(70);
  EXPECT_EQ(world.rules.present("job-1"), 8U) << "started, as a second attempt";
  world.cancel("job-1");
  world.run_until(85);
  EXPECT_EQ(told(world, "job-1"), JobState::cancelled);
  EXPECT_TRUE(world.state.items().contains(ledger::final_key("job-1")));
  expect_rules(world);
}

// --- a leader apart
// -------------------------------------------------------------------------------------------

/// Cut from the state service and from the other controllers while workers and
/// users still reach it; jobs are cancelled through the new one. A worker that
/// has heard of the new term drops the former leader's answers, and must not be
/// kept there while its lease runs out.
TEST(IsolatedLeader, KeepsNoWorkerThatHasHeardOfItsSuccessor) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    World world(2300 + seed);
    world.cloud.capacity = 16;
    world.submit(array(1, 8, 3000));
    world.submit(array(2, 6, 3000));
    world.run_until(50);
    ASSERT_EQ(placed(world, "job-1"), 8U);
    ASSERT_EQ(placed(world, "job-2"), 6U);
    const auto apart = leader_index(world);
    const auto starts = world.rules.starts();
    refuse_state(world, apart, true);
    world.cut_mesh(apart, true);
    world.run_until(56 + 0.3 * seed);
    ASSERT_TRUE(world.cancel_at((apart + 1) % 3, "job-2"));
    world.run_until(100);
    EXPECT_EQ(world.rules.present("job-2"), 0U);
    EXPECT_EQ(world.rules.present("job-1"), 8U);
    EXPECT_EQ(world.rules.starts(), starts) << seed << ": no lease ran out at the former leader's";
    refuse_state(world, apart, false);
    world.cut_mesh(apart, false);
    world.run_until(120);
    EXPECT_EQ(told(world, "job-2"), JobState::cancelled);
    ASSERT_TRUE(world.rules.broken().empty()) << seed << ": " << world.rules.broken().front();
  }
}

/// The same for a controller that acts as an unrecorded delegate for its zone: it has heard of the
/// next leader, but its records are those of the former term.
TEST(IsolatedLeader, NobodyActsAsDelegateUnderATermThatIsOver) {
  for (const bool next : {false, true}) {
    World world(2390);
    world.cloud.capacity = 20;
    world.submit(array_in("south", 1, 2, 3000));
    world.run_until(45);
    lead_from_north(world);
    const auto* worker = worker_of(world, "job-1");
    ASSERT_NE(worker, nullptr);
    for (auto& [id, one] : world.workers) one->cut = true;  // we speak for them
    const auto term = world.leader()->leader()->term() + (next ? 1 : 0);
    world.cut_zone("south", true);
    world.node(1)->on_message(mesh::Heartbeat{"node-0", term, "node-0", true, true, 0, 1e9});
    world.run_until(world.loop.now() + 5);
    auto report = report_of(*worker, 1, 1, term << constants::kTokenFenceBits);
    const auto ask = [&](double patience) {
      ++report.tick;
      const auto answer =
          world.answer_of(1, {"POST", "/v1/report", wire::encode_report(report)}, patience);
      return answer ? answer->status : 0;
    };
    EXPECT_NE(ask(4), 200);
    EXPECT_EQ(ask(0.5) == 200, !next) << "who comes back is answered, but not in vain";
  }
}

// --- jobs that end across a change of leader
// ----------------------------------------------------------------------

/// Two or three tasks that end far apart: what ended before the change is done
/// for ever, and none of it runs again.
TEST(RollingTakeover, JobsWhoseTasksEndFarApart) {
  for (int step = 0; step < 16; ++step) {
    World world(2400 + static_cast<unsigned>(step));
    world.cloud.capacity = 12;
    for (int i = 1; i <= 5; ++i)
      world.submit(array(i, 2 + static_cast<std::uint32_t>(i % 2), 12.0 * i));
    world.run_until(24 + 0.5 * step);
    world.crash(leader_index(world), step % 2 == 0 ? 0.1 : 7);
    world.run_until(34 + 0.5 * step);
    if (world.leader() != nullptr) world.crash(leader_index(world), 0.1);
    world.run_until(170);
    for (int i = 1; i <= 5; ++i)
      EXPECT_EQ(told(world, "job-" + std::to_string(i)), JobState::done) << step;
    ASSERT_TRUE(world.rules.broken().empty()) << step << ": " << world.rules.broken().front();
  }
}

// --- ten leaders in two minutes
// -------------------------------------------------------------------------------------

/// Also inside an outage. Each takeover begins its wait for silent machines
/// anew: after the last one nothing waits longer than 90 s.
TEST(RepeatedTakeovers, TenInTwoMinutesLeaveNothingWaiting) {
  for (unsigned seed = 1; seed <= 8; ++seed) {
    World world(2500 + seed);
    world.cloud.capacity = 12;
    world.submit(array(1, 8, 3000));
    world.submit(array(2, 6, 20));
    world.run_until(40);
    std::size_t dead = 0;
    for (int change = 0; change < 10; ++change) {
      if (world.leader() != nullptr) world.crash(leader_index(world), change % 3 == 0 ? 0.1 : 6);
      if (change == 4 || change == 7) world.state_down(true);
      if (change == 5 || change == 8) world.state_down(false);
      if (change % 4 == 1) {
        auto* worker = worker_of(world, "job-1");
        if (worker != nullptr && dead++ < 2) {
          worker->die();
          ++world.cloud.capacity;
        }
      }
      world.run_until(world.loop.now() + 12);
    }
    const double over = world.loop.now();
    while (world.loop.now() < over + 90 &&
           (placed(world, "job-1") < 8 || world.rules.present("job-1") < 8))
      world.run_until(world.loop.now() + 1);
    EXPECT_LT(world.loop.now(), over + 90) << seed;
    EXPECT_EQ(told(world, "job-2"), JobState::done) << seed;
    ASSERT_TRUE(world.rules.broken().empty()) << seed << ": " << world.rules.broken().front();
  }
}

// --- reports that are held back
// -----------------------------------------------------------------------------------------

/// Until a new leader has acted, or from seconds to well over a lease: the first
/// word that a leader hears of a machine may be one of an earlier session, or of
/// an earlier attempt.
TEST(DelayedReports, SayNothingOfTheTasksThatCameAfter) {
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
    // Some lose their lease, and their tasks start in a later session.
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
    ASSERT_TRUE(world.rules.broken().empty()) << held << ": " << world.rules.broken().front();
  }
}

// --- machines that a leader's end leaves behind
// ----------------------------------------------------------------------------

/// A leader ends while machines with long tasks can't be reached, or don't hear
/// the new leader's answer.
TEST(LeaderCrash, WithMachinesThatDoNotHearTheNext) {
  for (int spell = 4; spell < 70; spell += 6) {
    World world(2700 + static_cast<unsigned>(spell));
    world.cloud.capacity = 12;
    world.submit(array(1, 10, 3000));
    world.run_until(45);
    for (auto& [id, worker] : world.workers) {
      const double chance = world.random();
      worker->cut = chance < 0.3;
      worker->answers_dropped = chance >= 0.3 && chance < 0.5;
    }
    world.crash(leader_index(world), spell % 4 == 0 ? 0.1 : 8);
    world.run_until(46 + spell);
    for (auto& [id, worker] : world.workers) worker->cut = worker->answers_dropped = false;
    world.cloud.capacity = 12;
    world.run_until(46 + spell + 90);
    EXPECT_EQ(world.rules.present("job-1"), 10U) << spell;
    ASSERT_TRUE(world.rules.broken().empty()) << spell << ": " << world.rules.broken().front();
  }
}

// --- over and back
// ---------------------------------------------------------------------------------------------------------

/// Controllers hand over and back, all end, and one returns, within a second.
TEST(FullRestart, AllEndAndOneReturns) {
  for (int step = 0; step < 16; ++step) {
    World world(2800 + static_cast<unsigned>(step));
    world.submit(array(1, 8, 30));
    world.submit(array(2, 4, 3000));
    world.run_until(30);
    const auto first = leader_index(world);
    world.crash(first, 0.05 * step);
    world.run_until(30.3 + 0.1 * step);
    for (std::size_t i = 0; i < 3; ++i) world.crash(i, i == first ? 0.2 : 20);
    world.run_until(30.8 + 0.1 * step);
    world.crash(first, 0.03);
    world.run_until(40);
    world.cancel("job-2");
    world.run_until(180);
    EXPECT_EQ(told(world, "job-1"), JobState::done) << step;
    EXPECT_EQ(told(world, "job-2"), JobState::cancelled) << step;
    ASSERT_TRUE(world.rules.broken().empty()) << step << ": " << world.rules.broken().front();
  }
}

// --- a zone apart
// ------------------------------------------------------------------------------------------------------------

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
    world.cut_zone("south", true);
    world.run_until(at + 1 + length % 5);
    ASSERT_TRUE(world.cancel_at(0, "job-1", 5) || world.cancel_at(2, "job-1", 5));
    world.run_until(at + length);
    world.cut_zone("south", false);
    world.run_until(at + 150);
    EXPECT_EQ(told(world, "job-1"), JobState::cancelled) << length;
    EXPECT_EQ(placed(world, "job-2"), 4U) << length;
    ASSERT_TRUE(world.rules.broken().empty()) << length << ": " << world.rules.broken().front();
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
  auto report = report_of(*worker, 1, 1000, world.leader()->leader()->token());
  const auto send = [&] {
    ++report.tick;
    world.send_to_node(1, {"POST", "/v1/report", wire::encode_report(report)},
                       [](const net::Response&) {});
  };
  world.part_zones(true);
  world.run_until(world.loop.now() + 3);
  // The first attempt seems lost, and is applied when the second has its record.
  world.store(1).road = {false, 0, 0, 1, 3.6};
  send();
  world.run_until(world.loop.now() + 1.7);
  world.store(1).road = {};
  send();
  world.run_until(world.loop.now() + 0.1);
  const auto care = ledger::delegation_key("node-1");
  ASSERT_TRUE(world.state.items().contains(care));
  for (int i = 0; i < 60; ++i) {
    world.run_until(world.loop.now() + 0.1);
    ASSERT_TRUE(world.state.items().contains(care)) << "whoever may answer has its record";
  }
}

// --- the end of a job's last task
// --------------------------------------------------------------------------------------------

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
      world.run_until(world.loop.now() + 0.0005);
    ASSERT_LT(world.loop.now(), 60);
    const double end = world.loop.now();
    for (int i = 0; i < 6; ++i) world.loop.at(end + 0.004 * i, [&world] { world.poll("job-1"); });
    world.loop.at(end + 0.002 * (step % 20), [&world] { world.cancel("job-1"); });
    for (int i = 0; i < 6; ++i)
      world.loop.at(end + 0.003 * i, [&world, &job] { world.submit(job); });
    world.run_until(end + 5);
    for (int i = 0; i < 6; ++i) {
      world.poll("job-1");
      world.run_until(world.loop.now() + 0.3);
    }
    const auto state = told(world, "job-1");
    done += state == JobState::done;
    cancelled += state == JobState::cancelled;
    ASSERT_TRUE(world.rules.broken().empty()) << step << ": " << world.rules.broken().front();
  }
  EXPECT_EQ(done + cancelled, 60U);
  EXPECT_GT(done, 0U);
  EXPECT_GT(cancelled, 0U) << "the moments lie on both sides";
}

/// Rule 4: what a report says is recorded before the worker is told to forget
/// it, also while the state service is away.
TEST(JobCompletion, IsRecordedBeforeItIsCleared) {
  World world(3050);
  world.submit(array(1, 1, 3000));
  world.run_until(30);
  auto* worker = worker_of(world, "job-1");
  ASSERT_NE(worker, nullptr);
  const auto lead = leader_index(world);
  auto& leader = *world.leader()->leader();
  auto* host = leader.model().find_host(worker->id());
  const auto* task = *host->tasks.begin();
  worker->cut = true;  // we speak for it
  world.run_until(world.loop.now() + 5);
  auto report = report_of(*worker, host->session, host->tick, leader.token() + host->fence);
  report.tasks.push_back(
      {"job-1", task->index, task->attempt, wire::TaskState::ended, wire::EndCause::done, false});
  const auto cleared = [&] {
    ++report.tick;
    const auto answer =
        world.answer_of(lead, {"POST", "/v1/report", wire::encode_report(report)}, 0.05);
    if (!answer || answer->status != 200) return -1;
    return static_cast<int>(
        wire::decode_orders(wire::Document::parse(answer->body).root()).orders.size());
  };
  world.rules.completed("job-1", 0);
  world.state_down(true);
  EXPECT_EQ(cleared(), 0);
  world.run_until(world.loop.now() + 2);
  EXPECT_EQ(cleared(), 0) << "not recorded yet";
  world.state_down(false);
  world.run_until(world.loop.now() + 3);
  EXPECT_EQ(cleared(), 1);
  EXPECT_EQ(told(world, "job-1"), JobState::done);
}

// --- odd requests
// --------------------------------------------------------------------------------------------------------------

std::string packed(const wire::JobSpec& job) {
  wire::Packer packer;
  wire::pack_job(packer, job);
  return packer.take();
}

/// The message without one of its fields, or with another one in its place.
std::string without(const wire::JobSpec& job, std::string_view field,
                    const std::function<void(wire::Packer&)>& instead = {}) {
  const auto bytes = packed(job);
  const auto document = wire::Document::parse(bytes);
  const auto& map = document.root().via.map;
  wire::Packer packer;
  packer.map(instead ? map.size : map.size - 1);
  for (const auto& pair : map) {
    const auto name = wire::as_text(pair.key, "key");
    if (name == field && !instead) continue;
    packer.text(name);
    if (name == field)
      instead(packer);
    else
      packer.object(pair.val);
  }
  return packer.take();
}

TEST(OddRequests, EachGetsItsStatusAtOnceAndNothingIsStored) {
  World world(3100);
  world.cloud.capacity = 0;  // only what is answered and stored matters here
  world.run_until(10);
  const auto jobs_stored = [&] {
    return std::count_if(
        world.state.items().begin(), world.state.items().end(),
        [](const auto& item) { return item.first.starts_with(ledger::job_key("job-")); });
  };
  int number = 100;
  const auto submit = [&](const std::string& body) {
    const auto answer =
        world.answer_of(static_cast<std::size_t>(number) % 3, {"POST", "/api/jobs", body}, 0.5);
    return answer ? answer->status : 0;
  };
  for (const char* field :
       {"uid", "lane", "owner", "shape", "rank", "shards", "cores", "cards", "ram_gb", "together",
        "scatter", "loaners", "bundle", "pull_gb", "expect_s", "mark_every_s", "mark_s"}) {
    EXPECT_EQ(submit(without(array(++number, 1), field)), 400) << field << " is missing";
    EXPECT_EQ(
        submit(without(array(++number, 1), field, [](wire::Packer& packer) { packer.null(); })),
        400)
        << field << " is null";
    EXPECT_EQ(
        submit(without(array(++number, 1), field, [](wire::Packer& packer) { packer.list(0); })),
        400)
        << field << " is a list";
  }
  auto odd = array(++number, 1);
  odd.team = "nobody";
  EXPECT_EQ(submit(packed(odd)), 422);
  odd = array(++number, 1);
  odd.cpus = 13;
  EXPECT_EQ(submit(packed(odd)), 422) << "larger than any machine";
  odd = array(++number, 1);
  odd.types = {"m99"};
  EXPECT_EQ(submit(packed(odd)), 422) << "no such type";
  odd = array(++number, 1);
  odd.zone = "west";
  EXPECT_EQ(submit(packed(odd)), 422) << "no such zone";
  odd = service(++number, 9);
  odd.team = "red";
  EXPECT_EQ(submit(packed(odd)), 422) << "a service needs its team's limit for all tasks";
  EXPECT_EQ(jobs_stored(), 0);
  odd.kind = wire::JobKind::array;
  odd.id = "job-" + std::to_string(++number);
  EXPECT_EQ(submit(packed(odd)), 201) << "an array for one";
  for (const char* field : {"builds", "yard", "due_s"})
    EXPECT_EQ(submit(without(array(++number, 1), field)), 201) << field << " may be omitted";
  EXPECT_EQ(jobs_stored(), 4);
}

/// An id that was accepted keeps its answer, whatever is sent with it; one that
/// was not is unknown.
TEST(OddRequests, RepeatsAndCancellationsOfAllKinds) {
  World world(3110);
  const auto first = array(1, 2, 3);
  world.submit(first);
  world.submit(array(2, 2, 3000));
  world.run_until(60);
  ASSERT_EQ(told(world, "job-1"), JobState::done);
  const auto status_of = [&](const std::string& method, const std::string& path,
                             std::string body = {}) {
    const auto answer = world.answer_of(world.pick(3), {method, path, std::move(body)}, 0.5);
    return answer ? answer->status : 0;
  };
  const auto state_of = [&](const std::string& path, std::string body = {}) {
    const auto answer = world.answer_of(world.pick(3), {"POST", path, std::move(body)}, 0.5);
    if (!answer || answer->status != 200)
      return std::string("status ") + std::to_string(answer ? answer->status : 0);
    return std::string(
        wire::to_text(wire::decode_status(wire::Document::parse(answer->body).root()).state));
  };
  auto other = array(2, 9, 1);
  other.team = "nobody";
  EXPECT_EQ(state_of("/api/jobs", packed(other)), "running") << "a repeat that could never run";
  EXPECT_EQ(state_of("/api/jobs", without(array(2, 1), "lane")), "running")
      << "a repeat that lacks a field";
  EXPECT_EQ(state_of("/api/jobs", without(first, "shape")), "done");
  EXPECT_EQ(state_of("/api/jobs", packed(first)), "done");
  EXPECT_EQ(state_of("/api/jobs/job-1/cancel"), "done");
  EXPECT_EQ(state_of("/api/jobs/job-1/cancel"), "done") << "and stays so";
  EXPECT_EQ(status_of("POST", "/api/jobs/job-77/cancel"), 404);
  EXPECT_EQ(status_of("GET", "/api/jobs/job-77"), 404);
  EXPECT_EQ(status_of("GET", "/api/jobs/what"), 404);
  EXPECT_EQ(status_of("POST", "/api/jobs", "\xc1"), 400);
  EXPECT_EQ(status_of("POST", "/v1/report", "\x81\xa4host\x01"), 400);
  expect_rules(world);
}

}  // namespace
}  // namespace elmstall::test
