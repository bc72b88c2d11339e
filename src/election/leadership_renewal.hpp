// Keeps a leadership that was won: renews the lease to which the record `lead` is
// attached, and confirms with the state store that the term is still current.
#pragma once

#include <cstdint>
#include <functional>

#include "runtime/command_queue.hpp"
#include "store/mirror.hpp"
#include "store/state_store.hpp"
#include "wire/cloud.hpp"

namespace elmstall::election {

/// Lives as long as the leadership; replies that come later are ignored.
class LeadershipRenewal {
 public:
  struct Context {
    runtime::EventLoop& event_loop;
    runtime::CommandQueue& queue;
    store::StateStore& store;
    const store::Mirror& mirror;
    /// A request that was sent at this time proved the term to be current.
    std::function<void(double sent_at)> confirmed;
    /// The leadership is lost, for this reason. May destroy the caller.
    std::function<void(const char* reason)> lost;
  };

  /// `lease`: of the candidacy that won.
  LeadershipRenewal(Context context, std::uint64_t lease);

  /// Sends the requests when they are due. `machine_types` are recorded once, for
  /// nodes that start while the cloud does not answer.
  void tick(const std::vector<wire::MachineType>& machine_types);

 private:
  void renew_lease();
  void confirm_term(const std::vector<wire::MachineType>& machine_types);
  void lose(const char* reason);

  Context context_;
  runtime::CommandScope scope_;
  std::uint64_t lease_;
  bool machine_types_recorded_ = false;
  double next_renewal_ = 0;
};

}  // namespace elmstall::election
