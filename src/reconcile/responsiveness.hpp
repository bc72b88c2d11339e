/// @file
/// Detects machines whose heartbeats arrive while this leader's replies and commands do not
/// reach them. Runs on the controller's event loop.
#pragma once

#include "config/settings.hpp"
#include "reconcile/fencing.hpp"
#include "state/model.hpp"

namespace elmstall::reconcile {

/// Checks heartbeats for the effect of earlier replies, and raises the fence of machines that
/// seem to receive none.
class Responsiveness {
 public:
  /// Both references have to outlive this object.
  Responsiveness(const config::Settings& settings, Fencing& fencing)
      : settings_(settings), fencing_(fencing) {}

  /// Checks a machine by its new heartbeat, before the heartbeat is applied to the model.
  /// A machine is unresponsive when its lease ran out although its heartbeats were
  /// replied to, or when it has shown no effect of token or commands for a large
  /// part of a lease. Its fence is raised then, and it gets no new work until a
  /// heartbeat shows the new token (rule 3). `now`: seconds of the steady clock.
  void check(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat, double now);

 private:
  [[nodiscard]] bool acknowledges_replies(const state::Machine& machine,
                                          const wire::WorkerHeartbeat& heartbeat) const;
  [[nodiscard]] bool lease_lapsed_early(const state::Machine& machine,
                                        const wire::WorkerHeartbeat& heartbeat, double now) const;
  [[nodiscard]] bool unacknowledged_too_long(const state::Machine& machine, double now) const;

  const config::Settings& settings_;
  Fencing& fencing_;
};

}  // namespace elmstall::reconcile
