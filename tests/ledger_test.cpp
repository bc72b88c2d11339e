#include <gtest/gtest.h>

#include "engine/limiter.hpp"
#include "ledger/mirror.hpp"
#include "mesh/messages.hpp"

namespace elmstall::ledger {
namespace {

std::string job_value(const std::string& id, bool cancelled) {
  JobRecord record;
  record.spec.id = id;
  record.spec.lane = "x";
  record.spec.team = "t";
  record.spec.tasks = 3;
  record.cancelled = cancelled;
  return encode(record);
}

TEST(Records, KeysSurviveTheRoundTrip) {
  EXPECT_EQ(parse_key(block_key("job-7", 12)).id, "job-7");
  EXPECT_EQ(parse_key(block_key("job-7", 12)).number, 12U);
  EXPECT_EQ(parse_key(job_key("job-7")).kind, Key::Kind::job);
  EXPECT_EQ(parse_key(final_key("job-7")).kind, Key::Kind::final);
  EXPECT_EQ(parse_key(care_key("n")).kind, Key::Kind::care);
  EXPECT_EQ(parse_key("elm/l/block/job-7").kind, Key::Kind::other);
  EXPECT_EQ(parse_key("strange").kind, Key::Kind::other);
}

TEST(Records, BlocksSurviveTheRoundTrip) {
  BlockRecord block;
  block.done = {true, false, false, true, false, true, true};
  block.tasks = {{1, 3, "host-000001"}, {2, 1, ""}};
  const auto back = decode_block(encode(block));
  EXPECT_EQ(back.done, block.done);
  EXPECT_EQ(back.done_count(), 4U);
  EXPECT_EQ(back.assigned_count(), 1U);
  ASSERT_EQ(back.tasks.size(), 2U);
  EXPECT_EQ(back.tasks[0].host, "host-000001");
  EXPECT_EQ(back.tasks[0].attempt, 3U);
}

TEST(Records, AFullBlockFitsItsValue) {
  for (const double kb : {1.0, 4.0, 16.0}) {
    BlockRecord block;
    const auto size = block_size(kb);
    block.done.assign(size, false);
    for (std::uint32_t i = 0; i < size; ++i) block.tasks.push_back({99'999 - i, 4'000'000'000, "host-00000231"});
    const auto document = wire::Document::parse(encode(block));
    EXPECT_LE(wire::json_size(document.root()), static_cast<std::size_t>(kb * 1024)) << kb;
  }
}

TEST(Mirror, IsWholeOnlyOnceTheWatchPassedTheLastPage) {
  Mirror mirror;
  mirror.load({{{job_key("job-1"), job_value("job-1", false), 5}}, true, 10});
  EXPECT_FALSE(mirror.loaded());
  // The second page was read later and is newer: job-2 is cancelled in it.
  mirror.load({{{job_key("job-2"), job_value("job-2", true), 12}}, false, 12});
  EXPECT_FALSE(mirror.loaded());
  EXPECT_EQ(mirror.follow_from(), 10U);
  // What lies between is replayed, and an older value never wins.
  mirror.apply({12, {{job_key("job-2"), job_value("job-2", false), 11}, {job_key("job-1"), std::nullopt, 11}, {final_key("job-1"), encode(FinalRecord{wire::JobState::done, 3}), 11}, {job_key("job-2"), job_value("job-2", true), 12}}});
  EXPECT_TRUE(mirror.loaded());
  EXPECT_TRUE(mirror.job("job-2")->record.cancelled);
  EXPECT_EQ(mirror.job("job-1"), nullptr);
  EXPECT_EQ(mirror.status("job-1").state, wire::JobState::done);
  EXPECT_EQ(mirror.status("job-1").done, 3U);
  EXPECT_EQ(mirror.status("job-2").state, wire::JobState::cancelled);
}

TEST(Mirror, CountsComeFromTheBlocks) {
  Mirror mirror;
  BlockRecord block;
  block.done = {true, false, false};
  block.tasks = {{1, 1, "host-1"}};
  mirror.load({{{block_key("job-1", 0), encode(block), 3}, {job_key("job-1"), job_value("job-1", false), 2}}, false, 4});
  const auto status = mirror.status("job-1");
  EXPECT_EQ(status.state, wire::JobState::running);
  EXPECT_EQ(status.done, 1U);
  EXPECT_EQ(status.running, 1U);
}

TEST(Mirror, OldFinalStatesAreLetGo) {
  Mirror mirror;
  for (std::size_t i = 0; i < constants::kFinalCache + 10; ++i) mirror.remember_final("job-" + std::to_string(i), {});
  EXPECT_FALSE(mirror.final_state("job-0"));
  EXPECT_TRUE(mirror.final_state("job-20000"));
}

TEST(MeshMessages, SurviveTheRoundTripAndRefuseRubbish) {
  const auto back = mesh::decode(mesh::encode(mesh::ForwardedReport{"node-1", 7, std::string("a\0b", 3)}));
  EXPECT_EQ(std::get<mesh::ForwardedReport>(back).id, 7U);
  EXPECT_EQ(std::get<mesh::ForwardedReport>(back).body.size(), 3U);
  EXPECT_THROW((void)mesh::decode("rubbish that is no message"), std::exception);
  EXPECT_THROW((void)mesh::decode(""), std::exception);
}

TEST(ConcurrencyLimit, ShrinksWhenTimesGrowAndRecovers) {
  engine::ConcurrencyLimit limit;
  const auto serve = [&](double seconds, int times) {
    for (int i = 0; i < times; ++i) {
      ASSERT_TRUE(limit.try_enter());
      limit.leave(seconds);
    }
  };
  serve(0.03, 50);
  const double calm = limit.limit();
  serve(1.0, 50);
  EXPECT_LT(limit.limit(), calm / 2);
  serve(0.03, 200);
  EXPECT_GT(limit.limit(), calm / 2);
}

TEST(ConcurrencyLimit, ShedsBeyondTheLimit) {
  engine::ConcurrencyLimit limit;
  int entered = 0;
  while (limit.try_enter()) ++entered;
  EXPECT_EQ(entered, static_cast<int>(constants::kLimitStart));
  limit.leave(-1);
  EXPECT_TRUE(limit.try_enter());
  EXPECT_EQ(limit.shed(), 1U);
}

}  // namespace
}  // namespace elmstall::ledger
