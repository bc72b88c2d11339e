/// @file
/// Renews the leases of a zone's workers while they and their leader can't reach
/// each other.
///
/// A follower that receives heartbeats of its zone while the leader is unreachable
/// records that it is the delegate of its zone. It then renews worker leases, starts
/// nothing, and stops only tasks of cancelled jobs. The record is attached to a
/// lease of the state store, and the delegate replies to heartbeats only while that
/// lease has certainly not ended (docs/design.md, "Zone delegates").
///
/// If the zone is partitioned from the state store too, nothing can be recorded. The
/// delegation is then unrecorded: the node replies in the same way, for as long as a
/// leader may without the state store (rule 5), and only to machines that are not
/// recorded as retired. A leader that gives up a machine takes that into account
/// (rule 6).
///
/// Runs on the controller's event loop; times are seconds of its steady clock.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "config/settings.hpp"
#include "election/connectivity.hpp"
#include "election/pending_heartbeat.hpp"
#include "election/read_index.hpp"
#include "runtime/command_queue.hpp"

namespace elmstall::election {

/// The delegation of one controller, recorded or unrecorded, and the heartbeats that wait for it.
class ZoneDelegate {
 public:
  /// What the zone delegate works with. The references have to outlive it.
  struct Context {
    const config::Settings& settings;  ///< settings of this controller
    runtime::EventLoop& event_loop;    ///< clock and timers
    runtime::CommandQueue& queue;      ///< runs the callbacks, one after the other
    store::StateStore& store;          ///< client of the state store
    const store::Mirror& mirror;       ///< local replica of the records
    const ReadIndex& read_index;       ///< shows how recent the mirror is
  };

  /// Starts without a delegation.
  explicit ZoneDelegate(Context context);

  /// Replies to a heartbeat of this zone, now or as soon as a delegation permits it. A heartbeat
  /// that waits beyond its deadline is refused, or its worker is sent to another controller.
  void on_heartbeat(PendingHeartbeat heartbeat, const Connectivity& connectivity);
  /// Removes and returns the waiting heartbeats, so that a leader can reply to them instead.
  [[nodiscard]] std::vector<PendingHeartbeat> take_waiting() { return std::exchange(waiting_, {}); }
  /// Renews the delegation, or ends it when the leader is reachable again.
  void tick(const Connectivity& connectivity);
  /// Ends the delegation: replies to no more heartbeats and removes the record. Does nothing if
  /// there is no delegation. `reason` is for the log.
  void end(const char* reason);
  /// Whether a delegation is recorded, or is being recorded.
  [[nodiscard]] bool active() const { return state_ != State::idle; }
  /// When this node last replied to a heartbeat as a delegate. Before the first reply this is the
  /// start of the process, because it is not known what an earlier process of this node did
  /// (rule 6).
  [[nodiscard]] double replied_at() const { return replied_at_; }

 private:
  enum class State : std::uint8_t { idle, recording, active };

  void request_delegation();
  void record_delegation(std::uint64_t attempt, double sent_at);
  void renew();
  void remove_record();
  void reply_to_waiting(const Connectivity& connectivity);
  void refuse_or_redirect(const PendingHeartbeat& heartbeat, const Connectivity& connectivity);
  void reply(const wire::WorkerHeartbeat& heartbeat, const net::Responder& respond);
  void track_leader(bool leader_reachable, double now);
  /// Whether the lease of the recorded delegation has certainly not ended, and the copy of the
  /// records is recent enough.
  [[nodiscard]] bool delegation_valid() const;
  [[nodiscard]] bool may_reply_unrecorded(const std::string& machine,
                                          const Connectivity& connectivity) const;
  [[nodiscard]] bool may_reply(const std::string& machine, const Connectivity& connectivity) const;
  /// Whether the records place a task of a cancelled job on this machine that its
  /// heartbeat does not show, so that a `run` for it may still be on its way.
  [[nodiscard]] bool cancelled_run_may_be_in_flight(const wire::WorkerHeartbeat& heartbeat) const;
  [[nodiscard]] std::vector<wire::WorkerCommand> stops_of_cancelled(
      const wire::WorkerHeartbeat& heartbeat) const;

  Context context_;
  runtime::CommandScope scope_;
  State state_ = State::idle;
  std::uint64_t attempt_ = 0;               ///< replies to requests of an earlier one are ignored
  std::uint64_t lease_ = 0;                 ///< of the state store, to which the record is attached
  std::uint64_t recorded_at_revision_ = 0;  ///< the mirror must have reached it
  std::optional<double> renewed_at_;        ///< when the last successful renewal was sent
  double next_renewal_ = 0;
  std::optional<double> leader_reachable_since_;
  double replied_at_;
  std::vector<PendingHeartbeat> waiting_;
  std::map<std::string, double> last_refused_at_;  ///< by machine; seconds of the steady clock
};

}  // namespace elmstall::election
