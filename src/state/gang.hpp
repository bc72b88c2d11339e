// How far a gang is: one named state for all its tasks.
#pragma once

#include <cstdint>
#include <limits>
#include <set>
#include <string>

namespace elmstall::state {

/// The state of a gang's current attempt.
struct Gang {
  enum class State : std::uint8_t {
    waiting,   ///< on no machine
    claiming,  ///< places are kept for some or all tasks, nothing is recorded
    starting,  ///< all have a machine; begun once every one of them runs
    running,   ///< all have been seen to run
    stopping,  ///< told to save and exit
    ending,    ///< this attempt gets nowhere: its tasks are being ended
    done,
  };

  State state = State::waiting;
  double since = -std::numeric_limits<double>::infinity();  ///< when that state began
  std::uint64_t attempt = 0;
  /// Every task's start is recorded: `run` may be sent.
  bool committed = false;
  /// A task has begun to run, failed, or given up waiting: this attempt can't
  /// be completed by a replacement any more.
  bool broken = false;
  /// When a task of this attempt may first have waited for the others.
  double gathering_since = std::numeric_limits<double>::infinity();
  /// A task of an earlier attempt completed, and with it all of them; those of
  /// this one are still to be ended.
  bool completed = false;
  /// Machines that refused a task, or never got its image.
  std::set<std::string> avoided;
  double tried_at = -std::numeric_limits<double>::infinity();  ///< last search for places
  double zone_chosen_at = -std::numeric_limits<double>::infinity();
  /// When it may next keep places that don't suffice yet.
  double claim_after = -std::numeric_limits<double>::infinity();
};

/// Whether the one state may follow the other.
[[nodiscard]] bool may_follow(Gang::State from, Gang::State to);
[[nodiscard]] const char* to_text(Gang::State state);

}  // namespace elmstall::state
