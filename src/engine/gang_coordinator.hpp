// Starts, stops and ends gangs: jobs whose tasks all run at the same time or
// not at all. Nobody else stops, moves or starts one of their tasks, except
// that a cancellation stops them like those of every job.
#pragma once

#include <vector>

#include "engine/estimates.hpp"
#include "engine/model.hpp"
#include "sched/gang_placement.hpp"

namespace elmstall::engine {

class GangCoordinator {
 public:
  GangCoordinator(const config::Settings& settings, Model& model, Estimates& estimates)
      : settings_(settings), model_(model), estimates_(estimates) {}

  /// Derives the gang's state from the records, after a takeover.
  void recover(Job& job, double now) const;

  // What reports show.
  void on_state(Task& task, wire::TaskState state, double now);
  /// The task is certainly not on its machine any more.
  void on_exit(Task& task, wire::EndCause cause, double now);
  /// A task of the present attempt completed, and with it all of them.
  void on_done(Job& job, double now);
  /// One that is not placed there any more did: what it computed is kept.
  void on_late_done(Job& job, double now);

  /// A new round of decisions.
  void begin_round();
  /// Takes the gang one step further; false when nothing is to be done until
  /// one of its tasks changes. `roomy`: usable machines with room for some task.
  bool advance(Job& job, const HostSet& roomy, double now);

  /// Whether the start of this task may be ordered: every task of its attempt
  /// has a recorded place.
  [[nodiscard]] bool may_run(const Task& task);

 private:
  struct Sites {
    std::vector<Host*> hosts;
    std::vector<sched::GangSite> sites;
  };

  [[nodiscard]] std::vector<Task*> tasks_of(Job& job) const;
  [[nodiscard]] std::vector<Task*> pending_of(Job& job) const;

  // placement
  void place(Job& job, const HostSet& roomy, double now);
  [[nodiscard]] static bool within_quota(const Job& job, std::size_t tasks);
  /// One machine as a site, if any task could go there.
  [[nodiscard]] std::optional<sched::GangSite> site_of(const Job& job, const Host& host) const;
  [[nodiscard]] Sites free_sites(const Job& job, const HostSet& roomy) const;
  /// With what lesser work could make room for, on all machines.
  [[nodiscard]] Sites displaceable_sites(const Job& job, double now) const;
  [[nodiscard]] static sched::GangRequest request_of(const Job& job, std::size_t tasks);
  void start(Job& job, const std::vector<Task*>& tasks, const Sites& sites,
             const std::vector<sched::GangShare>& shares, double now);
  bool displace(Job& job, const std::vector<Task*>& tasks, double now);
  void choose_zone(Job& job, const Sites& sites, double now) const;
  /// Keeps what places there are for the gang that has waited the longest.
  void reserve(Job& job, const std::vector<Task*>& tasks, const Sites& sites, double now);
  void settle_claim(Job& job, const HostSet& roomy, double now);
  void widen_reservation(Job& job, const std::vector<Task*>& tasks, const HostSet& roomy,
                         double now);
  void keep_places(Job& job, const std::vector<Task*>& tasks, const Sites& sites);
  void give_up_claim(Job& job, double now);
  void unplan(const std::vector<Task*>& tasks);
  [[nodiscard]] static bool claim_has_room(const std::vector<Task*>& tasks);

  // the attempt
  void watch_start(Job& job, const HostSet& roomy, double now);
  /// Lost tasks may be started elsewhere under the same attempt.
  [[nodiscard]] bool replaceable(Job& job) const;
  [[nodiscard]] bool time_for_replacement(const Job& job, const Host* host, double now) const;
  void replace(Job& job, const HostSet& roomy, double now);
  void end_attempt(Job& job, const char* why, double now);
  void finish_attempt(Job& job, double now);
  void complete(Job& job, double now);

  const config::Settings& settings_;
  Model& model_;
  Estimates& estimates_;
  int searches_ = 0;             ///< for room by stopping others, in this round
  std::uint64_t reserving_ = 0;  ///< serial of the one gang that holds a partial claim
};

/// Stops the whole gang; with time to save if all its machines can be told in
/// time, else it falls back to its last checkpoint. Not started again before
/// `not_before`.
void stop_gang(Model& model, Job& job, bool save, double now, double not_before);

}  // namespace elmstall::engine
