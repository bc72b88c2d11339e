/// @file
/// Determines when the tasks of a silent machine, which sends no heartbeats, are certain not to run
/// any more: rule 6 of the safety argument in docs/design.md. Runs on the controller's event loop;
/// times are seconds of its steady clock.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "state/model.hpp"
#include "store/mirror.hpp"

namespace elmstall::reconcile {

/// What another controller has reported about its mirror of the records and its replies.
struct PeerReadState {
  std::uint64_t revision = 0;         ///< its mirror has reached this revision, or a later one
  double replied_at = state::kNever;  ///< it replied to no heartbeat on its own after this
};

/// Retires silent machines in the records, and reports those whose tasks are certainly gone.
class LeaseExpiry {
 public:
  /// Returns the last report of the controller of this name.
  using PeerStates = std::function<PeerReadState(const std::string& peer)>;
  /// Receives a machine whose tasks certainly do not run any more.
  using Expired = std::function<void(state::Machine&)>;

  /// `started_at`: when this leadership began. `expired`: called for each machine whose tasks are
  /// certainly gone. The references have to outlive this object.
  LeaseExpiry(const config::Settings& settings, const store::Mirror& mirror, state::Model& model,
              state::GroupCommit& group_commit, double started_at, PeerStates read_state,
              Expired expired)
      : settings_(settings),
        mirror_(mirror),
        model_(model),
        group_commit_(group_commit),
        started_at_(started_at),
        read_state_(std::move(read_state)),
        expired_(std::move(expired)) {}

  /// Looks for silent machines, records them as retired, and reports those whose worker leases
  /// have certainly ended (rule 6).
  void expire(double now);
  /// To be called when the delegations in the records have changed.
  void update_delegations(double now);
  /// Cancels the retirement of a machine that made contact again.
  void cancel_retirement(state::Machine& machine);
  /// The time until which worker leases that a former leader renewed may last.
  [[nodiscard]] double inherited_until() const;

 private:
  void retire(state::Machine& machine);
  /// Whether no other controller can be replying to this machine, or can have replied to it so
  /// recently that the renewed lease may still be valid (rule 6).
  [[nodiscard]] bool other_renewals_ruled_out(const state::Machine& machine, double now) const;

  const config::Settings& settings_;
  const store::Mirror& mirror_;
  state::Model& model_;
  state::GroupCommit& group_commit_;
  double started_at_;
  PeerStates read_state_;
  Expired expired_;
  bool any_delegated_ = true;  ///< some machine may have a zone delegate
};

}  // namespace elmstall::reconcile
