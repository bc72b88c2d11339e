#include "placement/planner.hpp"

#include "placement/eligibility.hpp"

namespace elmstall::placement {

Planner::Planner(const config::Settings& settings, state::Model& model, RunTimeEstimates& estimates,
                 GangCoordinator& gangs)
    : gangs_(gangs),
      queues_(settings, model, estimates),
      machines_(settings, model, queues_),
      preemption_(settings, model, queues_),
      direct_placement_(settings, model, machines_, preemption_, gangs),
      starter_(model, queues_, machines_) {}

bool Planner::usable(const state::Machine& machine, double now, const config::Settings& settings) {
  return is_usable(machine, now, settings);
}

void Planner::decide(double now) {
  preemption_.begin_round();
  gangs_.begin_round();
  machines_.update(now);
  preemption_.assign_planned(now);
  direct_placement_.place_jobs(now);
  queues_.update_windows(now);
  queues_.enqueue_jobs(now);
  queues_.reorder_and_balance(now);
  starter_.start_where_cached(now);
  starter_.start_on_machines_with_room(now);
  preemption_.preempt_for_queued(now);
  // The decisions have changed the room on machines. The index and the queues are updated at once,
  // so that no reader gets outdated figures between two rounds.
  machines_.update(now);
}

}  // namespace elmstall::placement
