/// \file
/// The stored records, the mirror, messages between controllers, and the concurrency limit.
#include <gtest/gtest.h>

#include "api/concurrency_limit.hpp"
#include "peer/messages.hpp"
#include "store/mirror.hpp"
#include "store/mirror_follower.hpp"
#include "support/fake_state.hpp"

namespace elmstall::store {
namespace {

std::string job_value(const std::string& id, bool cancelled) {
  JobRecord record;
  record.spec.id = id;
  record.spec.job_class = "x";
  record.spec.team = "t";
  record.spec.tasks = 3;
  record.cancelled = cancelled;
  return encode(record);
}

std::string slot_value(std::uint64_t number, const std::vector<BlockEntry>& blocks,
                       const std::vector<MachineEntry>& machines = {}) {
  std::vector<std::string> packed_blocks;
  std::vector<std::string> packed_machines;
  for (const auto& block : blocks) packed_blocks.push_back(pack(block).bytes);
  for (const auto& machine : machines) packed_machines.push_back(pack(machine).bytes);
  return encode_slot(number, packed_blocks, packed_machines);
}

TEST(Records, KeysSurviveTheRoundTrip) {
  EXPECT_EQ(parse_key(slot_key(12)).kind, Key::Kind::slot);
  EXPECT_EQ(parse_key(slot_key(12)).number, 12U);
  EXPECT_EQ(parse_key(job_key("job-7")).kind, Key::Kind::job);
  EXPECT_EQ(parse_key(final_key("job-7")).kind, Key::Kind::final);
  EXPECT_EQ(parse_key(delegation_key("n")).kind, Key::Kind::delegation);
  EXPECT_EQ(parse_key("elm/l/log/x").kind, Key::Kind::other);
  EXPECT_EQ(parse_key("elm/l/block/job-7/0").kind, Key::Kind::earlier);
  EXPECT_EQ(parse_key("strange").kind, Key::Kind::other);
}

TEST(Records, LogValuesSurviveTheRoundTrip) {
  BlockRecord block;
  block.done = {true, false, false, true, false, true, true};
  block.tasks = {{1, 3, "host-000001"}, {2, 1, ""}};
  const auto back = decode_slot(slot_value(
      9, {{"job-7", 2, block}},
      {{"host-1", false, {"1.2.3.4:5", "m12", "north", true, false}}, {"host-2", true, {}}}));
  EXPECT_EQ(back.number, 9U);
  ASSERT_EQ(back.blocks.size(), 1U);
  EXPECT_EQ(back.blocks[0].job, "job-7");
  EXPECT_EQ(back.blocks[0].number, 2U);
  const auto& record = back.blocks[0].record;
  EXPECT_EQ(record.done, block.done);
  EXPECT_EQ(record.done_count(), 4U);
  EXPECT_EQ(record.assigned_count(), 1U);
  ASSERT_EQ(record.tasks.size(), 2U);
  EXPECT_EQ(record.tasks[0].machine, "host-000001");
  EXPECT_EQ(record.tasks[0].attempt, 3U);
  ASSERT_EQ(back.machines.size(), 2U);
  EXPECT_EQ(back.machines[0].record.addr, "1.2.3.4:5");
  EXPECT_TRUE(back.machines[0].record.spot);
  EXPECT_FALSE(back.machines[0].record.retired);
  EXPECT_TRUE(back.machines[1].removed);
}

/// The JSON size, to which the state store's limits apply, must not exceed the computed upper
/// bound.
TEST(Records, AFullBlockTakesLessThanHalfOfItsValue) {
  for (const double kb : {1.0, 4.0, 16.0}) {
    BlockEntry entry{"job-00000412", 99'999, {}};
    const auto size = block_size(kb);
    entry.record.done.assign(size, false);
    for (std::uint32_t i = 0; i < size; ++i)
      entry.record.tasks.push_back({99'999 - i, 4'000'000'000, "host-000231"});
    const auto packed = pack(entry);
    EXPECT_LE(wire::json_size(wire::Document::parse(packed.bytes).root()), packed.json_bytes) << kb;
    EXPECT_LE(packed.json_bytes,
              static_cast<std::size_t>(kb * 1024 * constants::kValueFillFactor / 2))
        << kb;
  }
}

/// A block of an earlier version, with all tasks started, fits into one value under the smallest
/// limits at which no task's start has to be delayed.
TEST(Records, FullBlockOfAnEarlierVersionFitsIntoASmallerValue) {
  BlockEntry entry{"job-00000412", 99'999, {}};
  const auto size = block_size(16);
  entry.record.done.assign(size, false);
  for (std::uint32_t i = 0; i < size; ++i)
    entry.record.tasks.push_back({99'999 - i, 4'000'000'000, "host-000231"});
  for (const double kb : {1.5, 2.0}) {
    EXPECT_EQ(std::min(size, max_started_tasks(kb)), size) << kb;
    const auto value = encode_slot(1'000'000, {pack(entry).bytes}, {});
    EXPECT_LE(wire::json_size(wire::Document::parse(value).root()), value_bytes(kb)) << kb;
  }
  EXPECT_LT(max_started_tasks(1), size)
      << "below 1.5 KiB, some tasks of a block must wait for others";
  EXPECT_FALSE(startable_at_once(40, 1, 16));
  EXPECT_TRUE(startable_at_once(40, 2, 16));
}

/// If the record is too large, the fields that a cancelled job no longer needs are removed. Earlier
/// versions can read the remaining record.
TEST(Records, ACancelledJobsRecordFitsUnderASmallerLimit) {
  JobRecord record;
  record.spec.id = "job-1";
  record.spec.job_class = record.spec.team = "x";
  record.spec.image = std::string(200, 'i');
  record.spec.tasks = 9;
  record.spec.types = wire::AllowedTypes::only(std::vector<std::string>(500, "m12"));
  const auto max_bytes = value_bytes(2);
  ASSERT_GT(json_size(record), max_bytes);
  const auto cancelled = cancelled_record(record, max_bytes);
  EXPECT_TRUE(cancelled.cancelled);
  EXPECT_LE(json_size(cancelled), max_bytes);
  const auto read = decode_job(encode(cancelled));
  EXPECT_EQ(read.spec.tasks, 9U);
  EXPECT_TRUE(read.cancelled);
  record.spec.types = wire::AllowedTypes::only({"m12", "m12"});
  EXPECT_EQ(cancelled_record(record, max_bytes).spec.types, record.spec.types);
}

TEST(Mirror, HighestValueNumberWinsInAnyOrder) {
  const auto value = [](std::uint64_t number, std::uint64_t attempt) {
    return slot_value(number, {{"job-1", 0, {{false, false, false}, {{0, attempt, "host-1"}}}}});
  };
  Mirror mirror;
  mirror.load({{{job_key("job-1"), job_value("job-1", false), 2},
                {slot_key(0), value(8, 2), 9},
                {slot_key(1), value(7, 1), 8}},
               false,
               9});
  ASSERT_NE(mirror.blocks("job-1"), nullptr);
  EXPECT_EQ(mirror.blocks("job-1")->at(0).record.tasks[0].attempt, 2U);
  EXPECT_EQ(mirror.blocks("job-1")->at(0).slot, 0U);
  mirror.apply({11, {{slot_key(1), value(6, 5), 10}, {slot_key(2), value(9, 3), 11}}});
  EXPECT_EQ(mirror.blocks("job-1")->at(0).record.tasks[0].attempt, 3U);
  EXPECT_EQ(mirror.blocks("job-1")->at(0).slot, 2U);
  // Removing the job removes its blocks, and later values don't restore them.
  mirror.apply({12, {{job_key("job-1"), std::nullopt, 12}}});
  mirror.apply({13, {{slot_key(3), value(10, 4), 13}}});
  EXPECT_EQ(mirror.blocks("job-1"), nullptr);
}

TEST(Mirror, SkipsUndecodableRecords) {
  Mirror mirror;
  mirror.load(
      {{{slot_key(0), "\x81\xa1n\xa1x", 1}, {job_key("job-1"), job_value("job-1", false), 2}},
       false,
       3});
  EXPECT_TRUE(mirror.loaded());
  EXPECT_NE(mirror.job("job-1"), nullptr);
}

TEST(Mirror, KnowsTheValuesOfTheLogThatCantBeRead) {
  Mirror mirror;
  const auto unreadable = wire::Packer().map(1).key("n").integer(1).take();
  mirror.load({{{slot_key(4), unreadable, 1}, {slot_key(5), unreadable, 2}}, false, 3});
  EXPECT_EQ(mirror.unreadable_slots(), (std::set<std::uint32_t>{4, 5}));
  mirror.apply({5, {{slot_key(4), slot_value(2, {}), 4}, {slot_key(5), std::nullopt, 5}}});
  EXPECT_TRUE(mirror.unreadable_slots().empty());
}

/// A store that answers the first listing with a page that announces more and has no entry.
class StoreWithAnEmptyPage : public test::FakeStore {
 public:
  using FakeStore::FakeStore;
  void list(const std::string& prefix, const std::string& since,
            std::function<void(ListResult)> done) override {
    if (std::exchange(answered_, true)) return FakeStore::list(prefix, since, std::move(done));
    done({Outcome::ok, {{}, true, 1}});
  }

 private:
  bool answered_ = false;
};

/// Guards against a node that never gets ready.
TEST(MirrorFollower, ListsAgainAfterAPageWithoutEntriesThatAnnouncesMore) {
  test::VirtualLoop time;
  test::VirtualEventLoop loop(time, 1);
  runtime::CommandQueue queue(loop, [] {});
  test::FakeState state(time);
  (void)state.commit({{}, {{job_key("job-1"), job_value("job-1", false), 0}}});
  StoreWithAnEmptyPage store(time, state, 1);
  Mirror mirror;
  MirrorFollower follower(
      {loop, queue, store, mirror, [](const std::vector<Key>&) {}, [] { return 0.1; }});
  follower.start();
  time.run_until(5);
  EXPECT_TRUE(mirror.loaded());
  EXPECT_NE(mirror.job("job-1"), nullptr);
}

TEST(Mirror, IsLoadedOnceTheWatchHasPassedTheLastPage) {
  Mirror mirror;
  mirror.load({{{job_key("job-1"), job_value("job-1", false), 5}}, true, 10});
  EXPECT_FALSE(mirror.loaded());
  // The second page was read later and is newer: job-2 is cancelled in it.
  mirror.load({{{job_key("job-2"), job_value("job-2", true), 12}}, false, 12});
  EXPECT_FALSE(mirror.loaded());
  EXPECT_EQ(mirror.watch_start_revision(), 10U);
  // The changes between both pages are replayed, and an older value never replaces a newer one.
  mirror.apply({12,
                {{job_key("job-2"), job_value("job-2", false), 11},
                 {job_key("job-1"), std::nullopt, 11},
                 {final_key("job-1"), encode(FinalRecord{wire::JobState::done, 3}), 11},
                 {job_key("job-2"), job_value("job-2", true), 12}}});
  EXPECT_TRUE(mirror.loaded());
  EXPECT_TRUE(mirror.job("job-2")->record.cancelled);
  EXPECT_EQ(mirror.job("job-1"), nullptr);
  EXPECT_EQ(mirror.status("job-1").state, wire::JobState::done);
  EXPECT_EQ(mirror.status("job-1").done, 3U);
  EXPECT_EQ(mirror.status("job-2").state, wire::JobState::cancelled);
}

TEST(Mirror, TaskCountsComeFromTheBlocks) {
  Mirror mirror;
  BlockRecord block;
  block.done = {true, false, false};
  block.tasks = {{1, 1, "host-1"}};
  mirror.load({{{slot_key(0), slot_value(1, {{"job-1", 0, block}}), 3},
                {job_key("job-1"), job_value("job-1", false), 2}},
               false,
               4});
  const auto status = mirror.status("job-1");
  EXPECT_EQ(status.state, wire::JobState::running);
  EXPECT_EQ(status.done, 1U);
  EXPECT_EQ(status.running, 1U);
}

TEST(Mirror, OldestFinalStatesAreEvicted) {
  Mirror mirror;
  for (std::size_t i = 0; i < constants::kFinalStateCacheSize + 10; ++i)
    mirror.cache_final_state("job-" + std::to_string(i), {});
  EXPECT_FALSE(mirror.final_state("job-0"));
  EXPECT_TRUE(mirror.final_state("job-20000"));
}

TEST(PeerMessages, ValidMessagesSurviveTheRoundTripAndInvalidOnesAreRejected) {
  const auto back =
      peer::decode(peer::encode(peer::ForwardedHeartbeat{"node-1", 7, std::string("a\0b", 3)}));
  EXPECT_EQ(std::get<peer::ForwardedHeartbeat>(back).id, 7U);
  EXPECT_EQ(std::get<peer::ForwardedHeartbeat>(back).body.size(), 3U);
  EXPECT_THROW((void)peer::decode("rubbish that is no message"), std::exception);
  EXPECT_THROW((void)peer::decode(""), std::exception);
}

TEST(ConcurrencyLimit, ShrinksWhenRequestsTakeLongerAndRecovers) {
  api::ConcurrencyLimit limit;
  const auto serve = [&](double seconds, int times) {
    for (int i = 0; i < times; ++i) {
      ASSERT_TRUE(limit.try_enter());
      limit.leave(seconds);
    }
  };
  serve(0.03, 50);
  const double limit_before_overload = limit.limit();
  serve(1.0, 50);
  EXPECT_LT(limit.limit(), limit_before_overload / 2);
  serve(0.03, 200);
  EXPECT_GT(limit.limit(), limit_before_overload / 2);
}

TEST(ConcurrencyLimit, ShedsBeyondTheLimit) {
  api::ConcurrencyLimit limit;
  int entered = 0;
  while (limit.try_enter()) ++entered;
  EXPECT_EQ(entered, static_cast<int>(constants::kInitialRequestLimit));
  limit.leave(-1);
  EXPECT_TRUE(limit.try_enter());
  EXPECT_EQ(limit.shed(), 1U);
}

}  // namespace
}  // namespace elmstall::store
