#include "placement/preemption_search_budget.hpp"

#include "config/constants.hpp"
#include "placement/preemption.hpp"

namespace elmstall::placement {

bool preemption_search_is_due(const config::Settings& settings, const state::Model& model,
                              const state::Job& job, double now) {
  return now >= job.searched_at + constants::kPreemptionSearchInterval &&
         has_preemptible_work(settings, model, job);
}

bool PreemptionSearchBudget::exhausted() const {
  return searches_ >= constants::kPreemptionSearchesPerRound;
}

bool PreemptionSearchBudget::try_consume(const config::Settings& settings,
                                         const state::Model& model, const state::Job& job,
                                         double now) {
  if (exhausted() || !preemption_search_is_due(settings, model, job, now)) return false;
  ++searches_;
  return true;
}

}  // namespace elmstall::placement
