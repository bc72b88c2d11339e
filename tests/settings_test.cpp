#include "config/settings.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>

#include "config/constants.hpp"
#include "support/settings_file.hpp"

namespace elmstall::config {
namespace {

using test::kValidSettings;

class SettingsFile : public ::testing::Test {
 protected:
  std::string path_ = "/tmp/elmstall-settings-" + std::to_string(getpid()) + ".toml";
  void TearDown() override { std::remove(path_.c_str()); }

  Settings load(const std::string& text) {
    std::ofstream(path_) << text;
    return load_settings(path_);
  }
  /// Loads the valid settings with `from` replaced by `to`, and returns the error message, or
  /// "accepted" if there is none.
  std::string error_after_replacing(const std::string& from, const std::string& to) {
    std::string text = kValidSettings;
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    text.replace(at, from.size(), to);
    try {
      (void)load(text);
    } catch (const SettingsError& error) {
      return error.what();
    }
    return "accepted";
  }
};

TEST_F(SettingsFile, ReadsAValidFile) {
  const auto settings = load(kValidSettings);
  EXPECT_EQ(settings.node, "n-0");
  ASSERT_EQ(settings.peers.size(), 1U);
  EXPECT_EQ(settings.peers[0].endpoint, "127.0.0.1:9081");
  EXPECT_EQ(settings.state.transaction_writes_max, 8);
  EXPECT_DOUBLE_EQ(settings.team("a")->gpus_max, 8);
  EXPECT_EQ(settings.team("b"), nullptr);
  // 40 s to stop the tasks of a cancelled job, less a worker's lease of 10 s and the margins.
  EXPECT_NEAR(settings.leader_lease_s(), 28.5, 0.1);
}

TEST_F(SettingsFile, ErrorsNameTheFileAndTheKey) {
  const auto expect_names = [&](const std::string& from, const std::string& to,
                                const std::string& key) {
    const auto text = error_after_replacing(from, to);
    EXPECT_NE(text.find(key), std::string::npos) << text;
    EXPECT_NE(text.find(path_), std::string::npos) << text;
  };
  expect_names("node_name = \"n-0\"\n", "", "node_name");
  expect_names("\"127.0.0.1:8080\"", "\"nowhere\"", "api_addr");
  expect_names("\"127.0.0.1:8080\"", "17", "api_addr");
  expect_names("\"127.0.0.1:9081\"", "\"127.0.0.1:99999\"", "known[0]");
  expect_names("lease_s = 10.0", "lease_s = -1.0", "deployment.workers.lease_s");
  expect_names("lease_s = 10.0", "lease_s = \"ten\"", "deployment.workers.lease_s");
  expect_names("cancel_s = 40.0", "cancel_s = 9.0", "deployment.workers.cancel_s");
  expect_names("txn_ops = 8\n", "", "deployment.state.txn_ops");
  expect_names("zones = [\"east\", \"west\"]", "zones = []", "deployment.zones");
  expect_names("area = \"east\"", "area = ", ":2");
}

TEST_F(SettingsFile, UsesTheSmallerOfPresentAndAnnouncedLimits) {
  EXPECT_FALSE(load(kValidSettings).state_next);
  EXPECT_DOUBLE_EQ(load(kValidSettings).state_limits().value_kb, 4);
  const auto settings = load(
      std::string(kValidSettings) +
      "[deployment.state.next]\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 20\nnovelty = 1\n");
  ASSERT_TRUE(settings.state_next);
  const auto limits = settings.state_limits();
  EXPECT_DOUBLE_EQ(limits.rps, 120) << "an absent limit stays as it is";
  EXPECT_DOUBLE_EQ(limits.write_rps, 18);
  EXPECT_DOUBLE_EQ(limits.value_kb, 2);
  EXPECT_EQ(limits.transaction_writes_max, 8) << "a larger announced limit does not apply yet";
  EXPECT_DOUBLE_EQ(settings.state.value_kb, 4)
      << "jobs are divided into blocks by the present limit";
}

TEST_F(SettingsFile, ErrorsNameTheKeyOfAnnouncedLimits) {
  const auto error_for_line = [&](const std::string& line) {
    return error_after_replacing("txn_ops = 8\n",
                                 "txn_ops = 8\n[deployment.state.next]\n" + line + "\n");
  };
  for (const std::string key : {"rps", "write_rps", "value_kb", "txn_ops"}) {
    for (const std::string value : {"0", "-1.0", "\"many\"", "nan"}) {
      const auto text = error_for_line(key + " = " + value);
      EXPECT_NE(text.find("deployment.state.next." + key), std::string::npos) << value << text;
    }
  }
  const auto not_a_table = error_after_replacing("txn_ops = 8\n", "txn_ops = 8\nnext = 3\n");
  EXPECT_NE(not_a_table.find("deployment.state.next"), std::string::npos) << not_a_table;
}

TEST_F(SettingsFile, GangTimesMayBeAbsent) {
  EXPECT_DOUBLE_EQ(load(kValidSettings).gang_wait_s, constants::kGangWaitDefault);
  EXPECT_DOUBLE_EQ(load(kValidSettings).gang_peer_s, constants::kGangPeerDefault);
  const auto text = error_after_replacing(
      "cancel_s = 40.0\n", "cancel_s = 40.0\ngang_wait_s = -1.0\ngang_peer_s = 8.0\n");
  EXPECT_NE(text.find("deployment.workers.gang_wait_s"), std::string::npos) << text;
}

TEST_F(SettingsFile, MissingFileIsAnError) {
  EXPECT_THROW((void)load_settings("/nonexistent/x.toml"), SettingsError);
}

}  // namespace
}  // namespace elmstall::config
