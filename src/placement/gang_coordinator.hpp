// Starts, stops and ends gangs: jobs whose tasks all run at the same time or
// not at all. Nobody else stops, moves or starts one of their tasks, except
// that a cancellation stops them like those of every job.
#pragma once

#include <vector>

#include "placement/run_time_estimates.hpp"
#include "sched/gang_placement.hpp"
#include "state/model.hpp"

namespace elmstall::placement {

class GangCoordinator {
 public:
  GangCoordinator(const config::Settings& settings, state::Model& model,
                  RunTimeEstimates& estimates)
      : settings_(settings), model_(model), estimates_(estimates) {}

  /// Derives the gang's state from the records, after a takeover.
  void recover(state::Job& job, double now) const;

  // What heartbeats show.
  void on_state(state::Task& task, wire::TaskState state, double now);
  /// The task is certainly not on its machine any more.
  void on_exit(state::Task& task, wire::EndCause cause, double now);
  /// A task of the present attempt completed, and with it all of them.
  void on_done(state::Job& job, double now);
  /// One that is not placed there any more did: what it computed is kept.
  void on_late_done(state::Job& job, double now);

  /// A new round of decisions.
  void begin_round();
  /// Takes the gang one step further; false when nothing is to be done until
  /// one of its tasks changes. `roomy`: usable machines with room for some task.
  bool advance(state::Job& job, const state::MachineSet& with_room, double now);

  /// Whether the start of this task may be ordered: every task of its attempt
  /// has a recorded place.
  [[nodiscard]] bool may_run(const state::Task& task);

 private:
  struct Sites {
    std::vector<state::Machine*> machines;
    std::vector<sched::GangSite> sites;
  };

  [[nodiscard]] std::vector<state::Task*> tasks_of(state::Job& job) const;
  [[nodiscard]] std::vector<state::Task*> pending_of(state::Job& job) const;

  // placement
  void place(state::Job& job, const state::MachineSet& with_room, double now);
  [[nodiscard]] static bool within_quota(const state::Job& job, std::size_t tasks);
  /// One machine as a site, if any task could go there.
  [[nodiscard]] std::optional<sched::GangSite> site_of(const state::Job& job,
                                                       const state::Machine& machine) const;
  [[nodiscard]] Sites free_sites(const state::Job& job, const state::MachineSet& with_room) const;
  /// With what lesser work could make room for, on all machines.
  [[nodiscard]] Sites displaceable_sites(const state::Job& job, double now) const;
  [[nodiscard]] static sched::GangRequest request_of(const state::Job& job, std::size_t tasks);
  void start(state::Job& job, const std::vector<state::Task*>& tasks, const Sites& sites,
             const std::vector<sched::GangShare>& shares, double now);
  bool displace(state::Job& job, const std::vector<state::Task*>& tasks, double now);
  void choose_zone(state::Job& job, const Sites& sites, double now) const;
  /// Keeps what places there are for the gang that has waited the longest.
  void reserve(state::Job& job, const std::vector<state::Task*>& tasks, const Sites& sites,
               double now);
  void settle_claim(state::Job& job, const state::MachineSet& with_room, double now);
  void widen_reservation(state::Job& job, const std::vector<state::Task*>& tasks,
                         const state::MachineSet& with_room, double now);
  void keep_places(state::Job& job, const std::vector<state::Task*>& tasks, const Sites& sites);
  void give_up_claim(state::Job& job, double now);
  void unplan(const std::vector<state::Task*>& tasks);
  [[nodiscard]] static bool claim_has_room(const std::vector<state::Task*>& tasks);

  // the attempt
  void watch_start(state::Job& job, const state::MachineSet& with_room, double now);
  /// Lost tasks may be started elsewhere under the same attempt.
  [[nodiscard]] bool replaceable(state::Job& job) const;
  [[nodiscard]] bool time_for_replacement(const state::Job& job, const state::Machine* machine,
                                          double now) const;
  void replace(state::Job& job, const state::MachineSet& with_room, double now);
  void end_attempt(state::Job& job, const char* why, double now);
  void finish_attempt(state::Job& job, double now);
  void complete(state::Job& job, double now);

  const config::Settings& settings_;
  state::Model& model_;
  RunTimeEstimates& estimates_;
  int searches_ = 0;             ///< for room by stopping others, in this round
  std::uint64_t reserving_ = 0;  ///< serial of the one gang that holds a partial claim
};

/// Stops the whole gang; with time to save if all its machines can be told in
/// time, else it falls back to its last checkpoint. Not started again before
/// `not_before`.
void stop_gang(state::Model& model, state::Job& job, bool save, double now, double not_before);

}  // namespace elmstall::placement
