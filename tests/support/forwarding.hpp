/// \file
/// The restart of a follower while the leader has yet to reply to what it forwarded.
#pragma once

#include "support/world.hpp"

namespace elmstall::test {

/// A follower forwards `earlier` heartbeats to a leader that stands still, restarts within a
/// fraction of a second and forwards `later` heartbeats of other machines. Then the leader replies
/// to all of them. Expects that every reply holds the commands for the machine that receives it.
/// The world must be new and have three nodes. The follower is of this version.
void expect_replies_reach_their_own_workers(World& world, int earlier, int later);

}  // namespace elmstall::test
