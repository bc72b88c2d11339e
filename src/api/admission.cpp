#include "api/admission.hpp"

#include <algorithm>
#include <string>

#include "sched/resources.hpp"
#include "store/records.hpp"

namespace elmstall::api {

namespace {

sched::Amount need_of_task(const wire::JobSpec& spec) {
  return sched::need_of_task(spec.cpus, spec.gpus, spec.memory_gb);
}

/// Whether the job's own conditions allow machines of the type in one of these zones.
bool allows(const wire::JobSpec& spec, const wire::MachineType& machine_type,
            const std::vector<std::string>& zones) {
  const auto allowed_zone = [&](const std::string& zone) {
    return !spec.zone || *spec.zone == zone;
  };
  return spec.types.allows(machine_type.name) &&
         std::any_of(zones.begin(), zones.end(), allowed_zone);
}

bool within_team_limit(const wire::JobSpec& spec, const config::Team& team) {
  // The tasks of an array may run one after the other, so one of them has to fit into the limit.
  // Services and gangs need all their tasks at once.
  const double tasks_at_once = spec.kind == wire::JobKind::array ? 1 : spec.tasks;
  return sched::within_limit(team, need_of_task(spec) * tasks_at_once);
}

}  // namespace

std::string_view to_text(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::unknown_team:
      return "unknown team";
    case RejectionReason::no_allowed_machine_type:
      return "no allowed machine type exists";
    case RejectionReason::no_fitting_machine_type:
      return "a task fits no allowed machine type";
    case RejectionReason::above_team_limit:
      return "more than the team's limit";
    case RejectionReason::gang_not_recordable:
      return "a gang of so many tasks can't be recorded at once";
    case RejectionReason::record_too_large:
      return "its record is larger than the state service takes";
  }
  return {};
}

std::optional<RejectionReason> Admission::check(wire::JobSpec& spec, double submitted_at) const {
  const auto* team = settings_.team(spec.team);
  if (team == nullptr) return RejectionReason::unknown_team;
  remove_unknown_machine_types(spec);
  if (spec.types.none()) return RejectionReason::no_allowed_machine_type;
  if (!task_fits_some_machine_type(spec)) return RejectionReason::no_fitting_machine_type;
  if (!within_team_limit(spec, *team)) return RejectionReason::above_team_limit;
  return check_record_size(spec, submitted_at);
}

void Admission::remove_unknown_machine_types(wire::JobSpec& spec) const {
  spec.types.remove_unknown([this](const std::string& type) {
    return std::any_of(machine_types_.begin(), machine_types_.end(),
                       [&](const auto& machine_type) { return machine_type.name == type; });
  });
}

bool Admission::task_fits_some_machine_type(const wire::JobSpec& spec) const {
  const auto need = need_of_task(spec);
  return std::any_of(machine_types_.begin(), machine_types_.end(),
                     [&](const wire::MachineType& machine_type) {
                       return allows(spec, machine_type, machine_type.zones_or(settings_.zones)) &&
                              need.fits(sched::capacity_of_machine(
                                  machine_type.cpus, machine_type.gpus, machine_type.memory_gb));
                     });
}

std::optional<RejectionReason> Admission::check_record_size(const wire::JobSpec& spec,
                                                            double submitted_at) const {
  const auto limits = settings_.state_limits();
  // Rule 1: all tasks of a gang are recorded before the first one starts, and a block's record
  // has room for a limited number of started tasks.
  if (spec.kind == wire::JobKind::gang &&
      !store::startable_at_once(spec.tasks, limits.value_kb, settings_.state.value_kb))
    return RejectionReason::gang_not_recordable;
  if (store::json_size({spec, false, submitted_at}) > store::value_bytes(limits.value_kb))
    return RejectionReason::record_too_large;
  return std::nullopt;
}

}  // namespace elmstall::api
