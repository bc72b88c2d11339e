/// \file
/// Heartbeats that a follower forwards to the leader, and the replies to them.
#include "support/forwarding.hpp"

#include <gtest/gtest.h>

namespace elmstall::test {
namespace {

/// Guards against `ran_twice`, case 2 of the review: a follower restarts while the leader's replies
/// to heartbeats that its earlier process forwarded are under way. They must reach no worker of the
/// new process, which would carry out commands for another machine.
TEST(ForwardedReplies, ToAnEarlierProcessReachNoOtherWorker) {
  for (int earlier = 1; earlier <= 6; ++earlier) {
    for (int later = 1; later <= 6; ++later) {
      World world(7200);
      expect_replies_reach_their_own_workers(world, earlier, later);
    }
  }
}

}  // namespace
}  // namespace elmstall::test
