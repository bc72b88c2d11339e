#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>

#include "config/settings.hpp"

namespace elmstall::config {
namespace {

class PropertiesFile : public ::testing::Test {
 protected:
  std::string path_ = "/tmp/elmstall-" + std::to_string(getpid()) + ".properties";
  void TearDown() override { std::remove(path_.c_str()); }
  Tuning load(const std::string& text) {
    std::ofstream(path_) << text;
    return load_properties(path_);
  }
  void expect_error(const std::string& text, const std::string& about) {
    try {
      (void)load(text);
      ADD_FAILURE() << text << " was accepted";
    } catch (const SettingsError& error) {
      EXPECT_NE(std::string(error.what()).find(about), std::string::npos) << error.what();
      EXPECT_NE(std::string(error.what()).find(path_), std::string::npos) << error.what();
    }
  }
};

TEST_F(PropertiesFile, ReadsJavaPropertiesSyntax) {
  const auto tuning =
      load("# a comment\n! another\nsched.threshold.tasks = 4\nfleet.idle.share: 1.5\n");
  EXPECT_DOUBLE_EQ(tuning.threshold_tasks, 4);
  EXPECT_DOUBLE_EQ(tuning.idle_share, 1.5);
  EXPECT_DOUBLE_EQ(tuning.forecast_share, constants::kForecastShare);
}

TEST_F(PropertiesFile, ErrorsNameTheFileAndTheKey) {
  expect_error("sched.treshold = 4\n", "sched.treshold");
  expect_error("fleet.foresight = fast\n", "fleet.foresight");
  expect_error("fleet.foresight = 11\n", "fleet.foresight: must lie between 0 and 10");
  expect_error("fleet.foresight = nan\n", "fleet.foresight");
  EXPECT_THROW((void)load_properties("/nonexistent/x.properties"), SettingsError);
}

TEST_F(PropertiesFile, EveryDefaultLiesInItsRange) {
  const Tuning defaults;
  for (const auto& property : properties()) {
    EXPECT_GE(defaults.*(property.field), property.low) << property.key;
    EXPECT_LE(defaults.*(property.field), property.high) << property.key;
  }
}

}  // namespace
}  // namespace elmstall::config
