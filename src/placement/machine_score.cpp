#include "placement/machine_score.hpp"

namespace elmstall::placement {

namespace {

/// Gigabytes per second. Rate at which images are fetched where the machine type names none.
constexpr double kDefaultFetchRate = 1.0;
/// Points for each of the job's tasks in the machine's zone. Spreading a job over zones is worth
/// some seconds of fetching its image.
constexpr double kSameZonePenalty = 4.0;
/// Points for a full machine. Filling machines that are in use lets others become empty, so that
/// they can be terminated.
constexpr double kFullnessBonus = 2.0;

double fetch_rate(const state::Model& model, const state::Machine& machine) {
  const auto* type = model.machine_type(machine.type);
  return type == nullptr || type->fetch_gb_per_s <= 0 ? kDefaultFetchRate : type->fetch_gb_per_s;
}

}  // namespace

double machine_score(const state::Model& model, const state::Job& job,
                     const state::Machine& machine) {
  double score = machine.caches(job.image) ? 0 : -job.spec.image_gb / fetch_rate(model, machine);
  const auto in_zone = job.per_zone.find(machine.zone);
  if (in_zone != job.per_zone.end()) score -= kSameZonePenalty * in_zone->second;
  score += kFullnessBonus * machine.used.share_of(machine.capacity);
  return score;
}

}  // namespace elmstall::placement
