// The leader lease: how long a leader may act without hearing from the state store.
//
// A leader may reply to heartbeats, which renews worker leases, only while both
// its term and its copy of the records were confirmed recently (docs/design.md,
// rule 5). The lease is evaluated at the moment of each reply, so a process that
// stood still can't act on an evaluation from before.
#pragma once

#include <functional>

#include "config/settings.hpp"
#include "election/read_index.hpp"
#include "runtime/event_loop.hpp"

namespace elmstall::election {

class LeaderLease {
 public:
  /// Returns whether every other controller is heard and says that the state
  /// store does not answer it either.
  using CommonOutage = std::function<bool()>;

  /// `confirmed_at`: when the request that won the term was sent.
  LeaderLease(const config::Settings& settings, const runtime::EventLoop& event_loop,
              const ReadIndex& read_index, double confirmed_at, CommonOutage common_outage);

  /// A request that proved the term to be current was sent at this time.
  void confirm(double sent_at);

  /// Whether this node may still act for the controllers.
  [[nodiscard]] bool valid() const;

  /// Whether tasks may be started: the records were confirmed within the last
  /// seconds, or an outage that every controller sees excludes that a
  /// cancellation was confirmed elsewhere (docs/design.md, rule 1).
  [[nodiscard]] bool may_start_tasks() const;

 private:
  /// Seconds since both the term and the copy of the records were known to be current.
  [[nodiscard]] double age() const;

  const config::Settings& settings_;
  const runtime::EventLoop& loop_;
  const ReadIndex& read_index_;
  double confirmed_at_;
  CommonOutage common_outage_;
};

}  // namespace elmstall::election
