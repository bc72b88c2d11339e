/// @file
/// Claims of gangs: places that are planned for a gang's tasks before an attempt starts there. A
/// claim holds places for all tasks until the preempted tasks have ended. A reservation is a claim
/// that holds the free places, though there are too few yet; at most one gang has one at a time.
/// Claims are not recorded. Runs on the controller's event loop; times are seconds of its
/// steady clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "placement/gang_attempts.hpp"
#include "placement/gang_candidates.hpp"
#include "placement/preemption_search_budget.hpp"
#include "state/model.hpp"

namespace elmstall::placement {

/// Owner of all claims.
class GangClaims {
 public:
  /// All arguments have to outlive this object.
  GangClaims(const config::Settings& settings, state::Model& model,
             const GangCandidateFinder& candidate_finder, GangAttempts& attempts)
      : settings_(settings),
        model_(model),
        candidate_finder_(candidate_finder),
        attempts_(attempts) {}

  /// Starts a new round of decisions, with a new budget of searches. The places of the reservation
  /// are released until its gang is considered, so that work of higher precedence is placed first.
  void begin_round();
  /// Claims places for all tasks of the gang by preempting other work; false if that is not
  /// possible, or no search may be made now.
  bool claim_by_preemption(state::Job& job, std::size_t task_count, double now);
  /// Gives the reservation to the gang if it has waited long enough, the reservation is free, and
  /// the machines that there are could hold the whole gang.
  void reserve(state::Job& job, std::size_t task_count, const GangCandidates& candidates,
               double now);
  /// Advances a gang in state `claiming` by one step: it starts when all its places have become
  /// free, and its claim is released when that takes too long or a place is lost.
  void advance(state::Job& job, const state::MachineSet& with_room, double now);
  /// Ends the reservation if it belongs to this gang.
  void release_reservation(const state::Job& job);

 private:
  [[nodiscard]] bool has_reservation(const state::Job& job) const {
    return reservation_ == job.serial;
  }
  /// Whether the claim has lost a place, for example with its machine.
  [[nodiscard]] bool lost_place(const state::Job& job, const std::vector<state::Task*>& tasks,
                                double now) const;
  /// Whether the preempted tasks have ended at all places that are planned for the tasks.
  [[nodiscard]] static bool places_are_free(const std::vector<state::Task*>& tasks);
  /// Starts the gang on the places it has claimed.
  void start_on_claimed_places(state::Job& job, const std::vector<state::Task*>& tasks, double now);
  /// Starts the gang if there is room for all its tasks, else reserves the free room.
  void extend_reservation(state::Job& job, const state::MachineSet& with_room, double now);
  void plan_reserved_places(state::Job& job, const GangCandidates& candidates);
  void release_claim(state::Job& job, double now);

  /// `reservation_` when no gang has one; serial numbers of jobs begin at 1.
  static constexpr std::uint64_t kNoReservation = 0;

  const config::Settings& settings_;
  state::Model& model_;
  const GangCandidateFinder& candidate_finder_;
  GangAttempts& attempts_;
  PreemptionSearchBudget budget_;
  std::uint64_t reservation_ = kNoReservation;  ///< serial number of the gang that holds it
};

}  // namespace elmstall::placement
