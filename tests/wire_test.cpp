/// \file
/// Encoding and decoding of the messages of users and workers.
#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "wire/types.hpp"

namespace elmstall::wire {
namespace {

JobSpec sample_job() {
  JobSpec job;
  job.id = "job-000412";
  job.job_class = "train";
  job.team = "vision";
  job.tasks = 16;
  job.cpus = 8;
  job.gpus = 1;
  job.memory_gb = 64;
  job.types = AllowedTypes::only({"g8"});
  job.spot = true;
  job.image = "img-07";
  job.image_gb = 6.2;
  job.expect_s = 240;
  job.due_s = 900;
  return job;
}

std::string packed(const JobSpec& job) {
  Packer packer;
  pack_job(packer, job);
  return packer.take();
}

/// A valid job's message with one field replaced.
template <typename Put>
std::string with_field(std::string_view key, Put put) {
  const std::string bytes = packed(sample_job());
  const auto document = Document::parse(bytes);
  const auto& map = document.root().via.map;
  Packer packer;
  packer.map(map.size);
  for (const auto& pair : map) {
    const std::string name = as_text(pair.key, "key");
    packer.text(name);
    if (name == key)
      put(packer);
    else
      packer.object(pair.val);
  }
  return packer.take();
}

void expect_malformed(const std::string& bytes) {
  EXPECT_THROW((void)decode_job(Document::parse(bytes).root()), DecodeError);
}

TEST(Codec, JobSurvivesTheRoundTrip) {
  const auto job = sample_job();
  const auto back = decode_job(Document::parse(packed(job)).root());
  EXPECT_EQ(back.id, job.id);
  EXPECT_EQ(back.tasks, 16U);
  EXPECT_EQ(back.types, job.types);
  EXPECT_DOUBLE_EQ(back.image_gb, 6.2);
  EXPECT_DOUBLE_EQ(back.due_s.value(), 900);
  EXPECT_FALSE(back.zone);
  EXPECT_TRUE(back.spot);
}

TEST(Codec, RejectsMalformedJobs) {
  expect_malformed("");
  expect_malformed("\xc1");
  expect_malformed(packed(sample_job()) + "x");              // trailing bytes
  expect_malformed(std::string("\x91\xc0", 2));              // a list, not a map
  expect_malformed(std::string("\x81\x01\x02", 3));          // a key that is not text
  expect_malformed(std::string("\x81\xa1k\xc4\x01z", 6));    // binary data
  expect_malformed(std::string("\xdf\xff\xff\xff\xff", 5));  // a forged length
  expect_malformed(std::string(2000, '\x91') + "\xc0");      // deep nesting
  expect_malformed(with_field("cores", [](Packer& p) { p.number(std::nan("")); }));
  expect_malformed(with_field("cores", [](Packer& p) { p.number(INFINITY); }));
  expect_malformed(with_field("cores", [](Packer& p) { p.number(-1); }));
  expect_malformed(with_field("cores", [](Packer& p) { p.text("8"); }));
  expect_malformed(with_field("shards", [](Packer& p) { p.integer(0); }));
  expect_malformed(with_field("shards", [](Packer& p) { p.integer(100'001); }));
  expect_malformed(with_field("shards", [](Packer& p) { p.number(1.5); }));
  expect_malformed(with_field("uid", [](Packer& p) { p.text("task-1"); }));
  expect_malformed(with_field("uid", [](Packer& p) { p.null(); }));
  expect_malformed(with_field("shape", [](Packer& p) { p.text("blob"); }));
  expect_malformed(with_field("loaners", [](Packer& p) { p.integer(1); }));
  expect_malformed(with_field("builds", [](Packer& p) { p.text("g8"); }));
}

TEST(Codec, ToleratesNullAndUnknownFields) {
  const auto job =
      decode_job(Document::parse(with_field("due_s", [](Packer& p) { p.null(); })).root());
  EXPECT_FALSE(job.due_s);
  Packer more;
  more.map(2).key("uid").text("job-1").key("new").list(1).map(0);
  EXPECT_EQ(Document::parse(more.take()).fields().text("uid"), "job-1");
}

TEST(Codec, MutatedMessagesAreDecodedOrRejected) {
  // Any bytes must be decoded or rejected with a DecodeError, without a crash or another exception.
  std::mt19937 random(7);
  const std::string good = packed(sample_job());
  std::size_t refused = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = good;
    for (unsigned edits = 1 + random() % 4; edits > 0; --edits) {
      const auto at = random() % bytes.size();
      switch (random() % 3) {
        case 0:
          bytes[at] = static_cast<char>(random());
          break;
        case 1:
          bytes.erase(at, 1 + random() % 8);
          break;
        default:
          bytes.insert(at, 1 + random() % 4, static_cast<char>(random()));
          break;
      }
      if (bytes.empty()) bytes = "x";
    }
    try {
      (void)decode_job(Document::parse(bytes).root());
    } catch (const DecodeError&) {
      ++refused;
    }
  }
  EXPECT_GT(refused, 10'000U);
}

/// Guards against a zone or a machine without a name, which would be taken for "none" elsewhere.
TEST(Codec, RejectsEmptyNamesInListsOfTheCloud) {
  EXPECT_THROW((void)decode_machine_ids(Document::parse(encode_machine_ids({""})).root()),
               DecodeError);
  MachineType type;
  type.name = "m12";
  type.zones = {"north", ""};
  EXPECT_THROW((void)decode_machine_types(Document::parse(encode_machine_types({type})).root()),
               DecodeError);
}

TEST(Codec, HeartbeatsWithUnknownTaskStatesAreDecoded) {
  // A task state that a later version of the platform adds must not make the whole heartbeat
  // invalid: the worker's lease expires if its heartbeats are not answered.
  Packer packer;
  packer.map(7).key("host").text("host-1").key("build").text("g8").key("yard").text("a");
  packer.key("loaners").flag(true).key("shift").integer(1).key("tick").integer(2);
  packer.key("shards").list(1);
  packer.map(3).key("shard").text("job-1/0").key("try").integer(1).key("status").text("dreaming");
  const auto heartbeat = decode_heartbeat(Document::parse(packer.take()).root());
  ASSERT_EQ(heartbeat.tasks.size(), 1U);
  EXPECT_EQ(heartbeat.tasks[0].state, TaskState::other);
}

TEST(Codec, CommandsSurviveTheRoundTrip) {
  const std::vector<WorkerCommand> commands{{Verb::run, "job-1", 4, 2, 0},
                                            {Verb::stop, "job-2", 1, 1, 10},
                                            {Verb::clear, "job-3", 0, 1, 0}};
  const auto back = decode_commands(Document::parse(encode_heartbeat_reply(41, commands)).root());
  EXPECT_EQ(back.token, 41U);
  ASSERT_EQ(back.commands.size(), 3U);
  EXPECT_EQ(back.commands[1].verb, Verb::stop);
  EXPECT_DOUBLE_EQ(back.commands[1].grace_period_s, 10);
  EXPECT_EQ(back.commands[2].job, "job-3");
}

}  // namespace
}  // namespace elmstall::wire
