/// \file
/// When a read index confirms that the mirror is current, and when it fails.
#include "election/read_index.hpp"

#include <gtest/gtest.h>

#include "support/fake_state.hpp"

namespace elmstall::election {
namespace {

class ReadIndexTest : public ::testing::Test {
 protected:
  /// The result of a read.
  enum class Result { current, failed };

  void request(double timeout_s) {
    read_index_.request(timeout_s, [this](const LinearizableRead* read) {
      result_ = read == nullptr ? Result::failed : Result::current;
    });
  }
  void run_for(double seconds) {
    time_.run_until(time_.now() + seconds);
    read_index_.check();
  }

  test::VirtualLoop time_;
  test::VirtualEventLoop loop_{time_, 1};
  runtime::CommandQueue queue_{loop_, [] {}};
  test::FakeState state_{time_};
  test::FakeStore store_{time_, state_, 1};
  store::Mirror mirror_;
  ReadIndex read_index_{loop_, queue_, store_, mirror_, 0.1};
  std::optional<Result> result_;  ///< empty while the read waits
};

/// A record that is absent from a partly loaded mirror may exist in the state store.
TEST_F(ReadIndexTest, WaitsUntilAMirrorThatIsBeingLoadedIsComplete) {
  mirror_.load({{}, true, state_.revision()});
  request(5);
  run_for(1);
  EXPECT_FALSE(result_) << "more pages follow";
  mirror_.load({{}, false, state_.revision()});
  run_for(0.1);
  EXPECT_EQ(result_, Result::current);
}

TEST_F(ReadIndexTest, WaitsUntilTheMirrorHasReachedTheRevision) {
  mirror_.load({{}, false, state_.revision()});
  (void)state_.commit({{}, {{"elm/x", wire::Packer().integer(1).take(), 0}}});
  request(5);
  run_for(1);
  EXPECT_FALSE(result_) << "the mirror lacks the change";
  mirror_.apply({state_.revision(), {}});
  run_for(0.1);
  EXPECT_EQ(result_, Result::current);
}

/// This holds even if the mirror becomes current at the same moment as the deadline is noticed,
/// which happens after a suspension of the process.
TEST_F(ReadIndexTest, FailsAfterItsDeadline) {
  request(1);
  run_for(2);
  EXPECT_EQ(result_, Result::failed);
  result_.reset();
  request(1);
  time_.run_until(time_.now() + 2);
  mirror_.load({{}, false, state_.revision()});
  read_index_.check();
  EXPECT_EQ(result_, Result::failed);
}

}  // namespace
}  // namespace elmstall::election
