/// @file
/// Limit on the searches for machines on which preemption could make room. Each search
/// iterates over all machines, so the searches per round of decisions and the rate of searches for
/// one job are limited. Runs on the controller's event loop.
#pragma once

#include "state/model.hpp"

namespace elmstall::placement {

/// Counts the searches of one round. The caller notes the time of a search in
/// `state::Job::searched_at`.
class PreemptionSearchBudget {
 public:
  /// Starts a new round.
  void reset() { searches_ = 0; }
  /// Whether no further search may be made in this round.
  [[nodiscard]] bool exhausted() const;
  /// Whether a search for the job may be made now. If so, it counts for this round. `now` is in
  /// seconds of the steady clock.
  [[nodiscard]] bool try_consume(const config::Settings& settings, const state::Model& model,
                                 const state::Job& job, double now);

 private:
  int searches_ = 0;
};

/// Whether a search for the job is due: the last one without success was long enough ago, and
/// there is work that the job may preempt.
[[nodiscard]] bool preemption_search_is_due(const config::Settings& settings,
                                            const state::Model& model, const state::Job& job,
                                            double now);

}  // namespace elmstall::placement
