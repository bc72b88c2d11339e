/// @file
/// Linearizable read barrier for answers that a controller gives from its mirror.
///
/// The mirror follows the state store with a delay. An answer that is read from it may thus
/// miss a change that was committed before the request arrived. A read index excludes that:
/// the controller reads the state store's current revision, waits until the mirror has
/// reached this revision, and only then answers.
///
/// These depend on a read index ("Reads never go back" in docs/design.md):
/// - every answer to a user that is not a final state, including 404. Final states never
///   change, so they are answered at once.
/// - starting a task: the leader's copy of the cancellations must be recent (rule 1).
/// - answering workers' heartbeats, for the leader and for zone delegates (rule 5).
///
/// The last two do not wait for a read index of their own. They compare current_as_of() with
/// the clock, while the controller requests a read index at regular intervals.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "runtime/coalescing_timer.hpp"
#include "store/mirror.hpp"
#include "store/state_store.hpp"

namespace elmstall::election {

/// Proof that the mirror held everything that was committed before a read was requested. Only a
/// ReadIndex makes one. It is valid during the callback that receives it, and can't be kept.
class LinearizableRead {
 public:
  LinearizableRead(const LinearizableRead&) = delete;
  LinearizableRead& operator=(const LinearizableRead&) = delete;
  /// The revision that the mirror has reached.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

 private:
  friend class ReadIndex;
  explicit LinearizableRead(std::uint64_t revision) : revision_(revision) {}
  std::uint64_t revision_;
};

/// The read index of one controller. One request to the state store serves all reads that wait
/// at that time, and successive requests keep a minimum interval. Runs on the controller's
/// event loop; all times are in seconds, by the clock of that loop.
class ReadIndex {
 public:
  /// `read` shows that the mirror holds everything that was committed before the read was
  /// requested. It is null if that could not be shown before the read's deadline.
  using Callback = std::function<void(const LinearizableRead* read)>;

  /// `min_interval_s`: least time between two requests to the state store.
  ReadIndex(runtime::EventLoop& event_loop, runtime::CommandQueue& queue, store::StateStore& store,
            const store::Mirror& mirror, double min_interval_s)
      : loop_(event_loop),
        store_(store),
        mirror_(mirror),
        scope_(queue),
        probe_timer_(event_loop, queue),
        min_interval_s_(min_interval_s) {}

  /// Requests a read index for one read, whose deadline is `timeout_s` from now. The deadline
  /// is checked only once the state store has answered; a request that fails calls back with
  /// null. The callback is never called from within this function.
  void request(double timeout_s, Callback callback);
  /// Calls back the reads that the mirror is current for by now, and those whose deadline has
  /// passed. To be called after every change of the mirror, and at regular intervals.
  void check();
  /// The latest known time for which this holds: the mirror contains everything that was
  /// committed before it. Far in the past while there is none.
  [[nodiscard]] double current_as_of() const;
  /// When the state store last answered a request of this read index, which was sent before
  /// that. Far in the past if it never answered one.
  [[nodiscard]] double last_success() const;

 private:
  struct PendingRead {
    double requested_at = 0;
    double deadline = 0;
    Callback callback;
    std::uint64_t required_revision = 0;  ///< of the mirror; known once the state store answered
  };

  /// Requests the state store's revision on behalf of all unsent reads. Does nothing if there
  /// are none or a request is in flight, and waits if the last one was too recent.
  void send_probe();
  void on_probe_result(std::vector<PendingRead> reads, const store::GetResult& result);
  [[nodiscard]] bool mirror_has_reached(std::uint64_t revision) const;

  runtime::EventLoop& loop_;
  store::StateStore& store_;
  const store::Mirror& mirror_;
  runtime::CommandScope scope_;
  std::vector<PendingRead> unsent_;           ///< wait for the next request to be sent
  std::vector<PendingRead> awaiting_mirror_;  ///< wait for the mirror to reach their revision
  runtime::CoalescingTimer probe_timer_;
  double min_interval_s_;
  std::optional<double> next_probe_at_;  ///< no request is sent before this time
  bool probe_in_flight_ = false;
  std::optional<double> last_success_;
  std::optional<double> current_as_of_;
};

}  // namespace elmstall::election
