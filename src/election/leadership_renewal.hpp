/// @file
/// Keeps a leadership that was won: renews the lease to which the record `lead` is
/// attached, and confirms with the state store that the term is still current. Runs on the
/// controller's event loop.
#pragma once

#include <cstdint>
#include <functional>

#include "runtime/command_queue.hpp"
#include "store/mirror.hpp"
#include "store/state_store.hpp"
#include "wire/cloud.hpp"

namespace elmstall::election {

/// Exists as long as the leadership. Replies that arrive after its destruction are ignored.
class LeadershipRenewal {
 public:
  /// What the renewal works with. The references have to outlive it.
  struct Context {
    runtime::EventLoop& event_loop;  ///< clock and timers
    runtime::CommandQueue& queue;    ///< runs the callbacks, one after the other
    store::StateStore& store;        ///< client of the state store
    const store::Mirror& mirror;     ///< local replica of the records
    /// Called when the reply to a request sent at `sent_at` has proved the term current.
    std::function<void(double sent_at)> confirmed;
    /// Called when the leadership is lost; `reason` is for the log. May destroy the caller.
    std::function<void(const char* reason)> lost;
  };

  /// `lease`: lease of the state store that the won candidacy is attached to.
  LeadershipRenewal(Context context, std::uint64_t lease);

  /// Sends the requests if they are due; to be called at regular intervals. `machine_types` are
  /// recorded once, for nodes that start while the cloud does not answer.
  void tick(const std::vector<wire::MachineType>& machine_types);

 private:
  void renew_lease();
  void confirm_term(const std::vector<wire::MachineType>& machine_types);
  void lose(const char* reason) const;

  Context context_;
  runtime::CommandScope scope_;
  std::uint64_t lease_;
  bool machine_types_recorded_ = false;
  double next_renewal_ = 0;
};

}  // namespace elmstall::election
