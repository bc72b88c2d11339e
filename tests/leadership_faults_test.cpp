// Elections, takeovers and leaders apart while something else fails.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

// --- transactions that are carried out late ------------------------------------------

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
    ASSERT_EQ(world.rules.first_broken(), "") << seed;
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
    for (std::size_t i = 0; i < 3; ++i) world.store(i).faults = {false, 0, 0, 1, 1.9 + 0.04 * seed};
    while (world.leader() == nullptr && world.loop.now() < 20) world.run_for(0.05);
    for (std::size_t i = 0; i < 3; ++i) world.store(i).faults = {};
    ASSERT_NE(world.leader(), nullptr) << seed;
    late_wins += world.loop.now() < 8;
    const auto term = world.leader()->leader()->term();
    world.run_for(20);
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
  world.state.on_commit = [&](const wire::Transaction& transaction) {
    for (const auto& write : transaction.writes) {
      if (write.key != store::kLeadKey || !write.value) continue;
      const auto node = store::decode_lead(*write.value).node;
      if (!held.insert(node).second) continue;
      const auto index = static_cast<std::size_t>(node.back() - '0');
      world.store(index).faults.watch_held = true;
      world.loop.after(6, [&world, index] { world.store(index).faults.watch_held = false; });
    }
  };
  for (std::size_t i = 0; i < 3; ++i) world.crash(i, 0.01);
  world.run_until(45);
  EXPECT_GE(held.size(), 2U) << "they were elected and did not hear of it";
  ASSERT_NE(world.leader(), nullptr);
}

// --- everybody away ------------------------------------------------------------------

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
    ASSERT_EQ(world.rules.first_broken(), "") << away;
  }
}

// --- a leader apart ------------------------------------------------------------------

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
    world.network.cut_peer_links(apart);
    world.run_until(56 + 0.3 * seed);
    ASSERT_TRUE(world.cancel_at((apart + 1) % 3, "job-2"));
    world.run_until(100);
    EXPECT_EQ(world.rules.present("job-2"), 0U);
    EXPECT_EQ(world.rules.present("job-1"), 8U);
    EXPECT_EQ(world.rules.starts(), starts) << seed << ": no lease ran out at the former leader's";
    refuse_state(world, apart, false);
    world.network.restore_peer_links(apart);
    world.run_until(120);
    EXPECT_EQ(told(world, "job-2"), JobState::cancelled);
    ASSERT_EQ(world.rules.first_broken(), "") << seed;
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
    world.cut_zone("south");
    world.node(1)->on_message(peer::Heartbeat{"node-0", term, "node-0", true, true, 0, 1e9});
    world.run_for(5);
    auto heartbeat = heartbeat_of(*worker, 1, 1, term << constants::kTokenFenceBits);
    const auto ask = [&](double patience) {
      ++heartbeat.sequence;
      const auto answer =
          world.response_of(1, {"POST", "/v1/report", wire::encode_heartbeat(heartbeat)}, patience);
      return answer ? answer->status : 0;
    };
    EXPECT_NE(ask(4), 200);
    EXPECT_EQ(ask(0.5) == 200, !next) << "who comes back is answered, but not in vain";
  }
}

// --- jobs that end across a change of leader -----------------------------------------

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
    ASSERT_EQ(world.rules.first_broken(), "") << step;
  }
}

// --- ten leaders in two minutes ------------------------------------------------------

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
      if (change == 4 || change == 7) world.stop_state_store();
      if (change == 5 || change == 8) world.restore_state_store();
      if (change % 4 == 1) {
        auto* worker = worker_of(world, "job-1");
        if (worker != nullptr && dead++ < 2) {
          worker->die();
          ++world.cloud.capacity;
        }
      }
      world.run_for(12);
    }
    const double over = world.loop.now();
    while (world.loop.now() < over + 90 &&
           (placed(world, "job-1") < 8 || world.rules.present("job-1") < 8))
      world.run_for(1);
    EXPECT_LT(world.loop.now(), over + 90) << seed;
    EXPECT_EQ(told(world, "job-2"), JobState::done) << seed;
    ASSERT_EQ(world.rules.first_broken(), "") << seed;
  }
}

// --- machines that a leader's end leaves behind --------------------------------------

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
      worker->responses_dropped = chance >= 0.3 && chance < 0.5;
    }
    world.crash(leader_index(world), spell % 4 == 0 ? 0.1 : 8);
    world.run_until(46 + spell);
    for (auto& [id, worker] : world.workers) worker->cut = worker->responses_dropped = false;
    world.cloud.capacity = 12;
    world.run_until(46 + spell + 90);
    EXPECT_EQ(world.rules.present("job-1"), 10U) << spell;
    ASSERT_EQ(world.rules.first_broken(), "") << spell;
  }
}

// --- over and back -------------------------------------------------------------------

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
    ASSERT_EQ(world.rules.first_broken(), "") << step;
  }
}

}  // namespace
}  // namespace elmstall::test
