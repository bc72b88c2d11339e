/// @file
/// The leader lease: how long a leader may act without a reply from the state store.
///
/// A leader may reply to heartbeats, which renews worker leases, only while both
/// its term and its copy of the records were confirmed recently (docs/design.md,
/// rule 5). The lease is evaluated at the moment of each reply, so a process that was suspended
/// can't act on an evaluation made before. Runs on the controller's event loop; times are seconds
/// of its steady clock.
#pragma once

#include <functional>

#include "config/settings.hpp"
#include "election/read_index.hpp"
#include "runtime/event_loop.hpp"

namespace elmstall::election {

/// Determines whether this leader may reply to heartbeats, and whether it may start tasks.
class LeaderLease {
 public:
  /// Returns whether every other controller is reachable and reports that the
  /// state store does not answer it either.
  using CommonOutage = std::function<bool()>;

  /// `confirmed_at`: when the request that won the term was sent.
  LeaderLease(const config::Settings& settings, const runtime::EventLoop& event_loop,
              const ReadIndex& read_index, double confirmed_at, CommonOutage common_outage);

  /// Prolongs the lease: the reply to a request sent at `sent_at` has proved the term current.
  void confirm(double sent_at);

  /// Whether this node may still act as the leader (rule 5).
  [[nodiscard]] bool valid() const;

  /// Whether tasks may be started (rule 1). Either the term and the copy of the records were
  /// confirmed in the last `constants::kTaskStartMaxRecordsAge` seconds, or every controller
  /// reports that the state store does not answer it, so that none can have confirmed a
  /// cancellation.
  [[nodiscard]] bool may_start_tasks() const;

  /// Seconds since both the term and the copy of the records were known to be current.
  [[nodiscard]] double age() const;

 private:
  const config::Settings& settings_;
  const runtime::EventLoop& loop_;
  const ReadIndex& read_index_;
  double confirmed_at_;
  CommonOutage common_outage_;
};

}  // namespace elmstall::election
