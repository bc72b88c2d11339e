// Read index: shows that the mirror is current, once for all who wait for it: one
// cheap request tells the present revision, and answers wait until the
// mirror has reached it.
#pragma once

#include <functional>
#include <vector>

#include "runtime/coalescing_timer.hpp"
#include "store/mirror.hpp"
#include "store/state_store.hpp"

namespace elmstall::election {

class ReadIndex {
 public:
  using Waiter = std::function<void(bool current)>;

  /// `gap`: seconds between two requests, which serve all who came meanwhile.
  ReadIndex(runtime::EventLoop& event_loop, runtime::CommandQueue& queue, store::StateStore& store,
            const store::Mirror& mirror, double gap)
      : loop_(event_loop),
        store_(store),
        mirror_(mirror),
        scope_(queue),
        wake_(event_loop, queue),
        gap_(gap) {}

  /// Calls back with true once the mirror holds all that was committed
  /// before this call, or with false when that can't be shown in time.
  void request(double patience_s, Waiter waiter);
  /// To be called when the mirror moved, and now and then.
  void check();
  /// The mirror held all that was committed before this moment.
  [[nodiscard]] double current_as_of() const { return current_as_of_; }
  /// When the state service last answered; the request was sent before.
  [[nodiscard]] double last_success() const { return last_success_; }

 private:
  struct Waiting {
    double asked = 0;
    double deadline = 0;
    std::uint64_t revision = 0;
    Waiter waiter;
  };
  /// Asks on behalf of all who wait, if any do and nothing is under way.
  void probe();

  runtime::EventLoop& loop_;
  store::StateStore& store_;
  const store::Mirror& mirror_;
  runtime::CommandScope scope_;
  std::vector<Waiting> next_;     ///< wait for a probe to be sent
  std::vector<Waiting> waiting_;  ///< know their revision
  runtime::CoalescingTimer wake_;
  double gap_;
  double next_probe_ = -1e18;
  bool probing_ = false;
  double last_success_ = -1e18;
  double current_as_of_ = -1e18;
};

}  // namespace elmstall::election
