/// \file
/// Records and messages as earlier builds wrote them. During a rolling restart, controllers of both
/// builds run at the same time, so the present build must read them and write the same bytes.
#include <gtest/gtest.h>

#include <string>
#include <string_view>

#include "peer/messages.hpp"
#include "store/records.hpp"

namespace elmstall {
namespace {

std::string from_hex(std::string_view digits) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes.push_back(static_cast<char>(std::stoi(std::string(digits.substr(i, 2)), nullptr, 16)));
  }
  return bytes;
}

/// Decoding and encoding again must give the same bytes.
template <typename Decode>
void expect_unchanged(std::string_view digits, Decode&& decode) {
  const auto stored = from_hex(digits);
  EXPECT_EQ(store::encode(decode(stored)), stored);
}

TEST(StoredRecords, RecordsOfEarlierBuildsAreReencodedUnchanged) {
  expect_unchanged("81a16e29", store::decode_term);
  expect_unchanged("83a46e6f6465a66e6f64652d31a3696e63a437372f32a47465726d29", store::decode_lead);
  expect_unchanged("81a47a6f6e65a161", store::decode_delegation);
  expect_unchanged("82a57374617465a977697468647261776ea57461736b7310", store::decode_final);
}

TEST(StoredRecords, JobOfAnEarlierBuildKeepsItsFields) {
  constexpr std::string_view kStored =
      "83a473706563de0014a3756964aa6a6f622d303030343132a46c616e65a5747261696ea56f776e6572a67669"
      "73696f6ea57368617065a567726f7570a472616e6ba468696768a673686172647310a5636f72657308a56361"
      "72647301a672616d5f676240a66275696c647391a26738a479617264a161a8746f676574686572c3a7736361"
      "74746572c3a76c6f616e657273c3a662756e646c65a6696d672d3037a770756c6c5f6762cb4018cccccccccc"
      "cda86578706563745f73ccf0ac6d61726b5f65766572795f731ea66d61726b5f7304a56475655f73cd0384a9"
      "63616e63656c6c6564c3a26174cb40934a0000000000";
  const auto job = store::decode_job(from_hex(kStored));
  EXPECT_EQ(job.spec.id, "job-000412");
  EXPECT_EQ(job.spec.job_class, "train");
  EXPECT_EQ(job.spec.team, "vision");
  EXPECT_EQ(job.spec.kind, wire::JobKind::gang);
  EXPECT_EQ(job.spec.priority, wire::Priority::high);
  EXPECT_EQ(job.spec.zone, "a");
  EXPECT_TRUE(job.spec.spread);
  EXPECT_TRUE(job.cancelled);
  EXPECT_EQ(store::encode(job), from_hex(kStored));
}

TEST(StoredRecords, LogValueOfAnEarlierBuildKeepsBlocksAndMachines) {
  constexpr std::string_view kStored =
      "83a16e09a1629195aa6a6f622d3030303431320103a13192932102ab686f73742d303030323331932201a0a1"
      "689295ab686f73742d303030323331af31302e312e302e3233323a39303030a26738a1610391ab686f73742d"
      "303030303037";
  const auto slot = store::decode_slot(from_hex(kStored));
  ASSERT_EQ(slot.blocks.size(), 1U);
  ASSERT_EQ(slot.machines.size(), 2U);
  EXPECT_EQ(slot.blocks[0].record.done, (std::vector<bool>{true, false, false}));
  EXPECT_EQ(slot.blocks[0].record.tasks[0].machine, "host-000231");
  EXPECT_TRUE(slot.machines[0].record.retired);
  EXPECT_TRUE(slot.machines[1].removed);
  EXPECT_EQ(store::encode_slot(
                slot.number, {store::pack(slot.blocks[0]).bytes},
                {store::pack(slot.machines[0]).bytes, store::pack(slot.machines[1]).bytes}),
            from_hex(kStored));
}

TEST(PeerMessages, MessagesOfEarlierBuildsAreReencodedUnchanged) {
  for (const std::string_view sent :
       {std::string_view("010000000006000000000000006e6f64652d31290000000000000006000000000000006e6"
                         "f64652d32010000"
                         "02000000000000000000000000f83f"),
        std::string_view(
            "010100000006000000000000006e6f64652d3107000000000000000400000000000000626f6479"),
        std::string_view("01020000000700000000000000c80000000600000000000000616e73776572"),
        std::string_view("01030000000a000000000000006a6f622d303030343132")}) {
    const auto bytes = from_hex(sent);
    EXPECT_EQ(peer::encode(peer::decode(bytes)), bytes) << sent;
  }
  const auto heartbeat = std::get<peer::Heartbeat>(peer::decode(from_hex(
      "010000000006000000000000006e6f64652d31290000000000000006000000000000006e6f64652d32010000"
      "02000000000000000000000000f83f")));
  EXPECT_EQ(heartbeat.node, "node-1");
  EXPECT_EQ(heartbeat.term, 41U);
  EXPECT_EQ(heartbeat.revision, 512U);
}

}  // namespace
}  // namespace elmstall
