// Decides when a silent machine's tasks are certainly gone: rule 6 of the safety
// argument in docs/design.md.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "state/model.hpp"
#include "store/mirror.hpp"

namespace elmstall::reconcile {

/// What another controller said of itself.
struct PeerReadState {
  std::uint64_t revision = 0;         ///< its copy of the records is at least this far
  double replied_at = state::kNever;  ///< it answered no heartbeat on its own after this
};

class LeaseExpiry {
 public:
  using PeerStates = std::function<PeerReadState(const std::string& peer)>;
  using Expired = std::function<void(state::Machine&)>;

  /// `started`: when this leadership began. `expired`: called for a machine whose
  /// tasks can run nowhere any more.
  LeaseExpiry(const config::Settings& settings, const store::Mirror& mirror, state::Model& model,
              state::GroupCommit& group_commit, double started, PeerStates read_state,
              Expired expired)
      : settings_(settings),
        mirror_(mirror),
        model_(model),
        group_commit_(group_commit),
        started_(started),
        read_state_(std::move(read_state)),
        expired_(std::move(expired)) {}

  /// Looks for machines that are silent, records them as retired, and reports
  /// those whose leases are certainly over.
  void expire(double now);
  /// To be called when the delegations in the records have changed.
  void update_delegations(double now);
  /// The machine was heard: it is not given up.
  void revive(state::Machine& machine);
  /// Until then a former leader may have kept leases alive.
  [[nodiscard]] double inherited_until() const;

 private:
  void retire(state::Machine& machine);
  /// Nobody else may be answering this machine, or did so within a lease.
  [[nodiscard]] bool excluded(const state::Machine& machine, double now) const;

  const config::Settings& settings_;
  const store::Mirror& mirror_;
  state::Model& model_;
  state::GroupCommit& group_commit_;
  double started_;
  PeerStates read_state_;
  Expired expired_;
  bool any_delegated_ = true;  ///< some machine may have a zone delegate
};

}  // namespace elmstall::reconcile
