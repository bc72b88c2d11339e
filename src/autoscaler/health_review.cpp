#include "autoscaler/health_review.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "autoscaler/boot_time.hpp"
#include "config/constants.hpp"

namespace elmstall::autoscaler {

namespace k = constants;

namespace {

/// Ratio. When more than one in this many machines is affected by the same problem, the cause
/// is assumed to be a network partition.
constexpr std::size_t kPartitionRatio = 3;
/// Leases. How long past the end of its lease a single silent machine is kept, in case its
/// heartbeats are only late.
constexpr double kSilentExtraLeases = 0.5;
/// Leases. The same during a likely partition. Longer, because deleting machines that are only
/// cut off would lose all their work.
constexpr double kPartitionExtraLeases = 4;
/// Ratio. A silent machine that is not on the cloud's list counts as gone only when it has been
/// silent for this many times the list's lag, because the list may be outdated.
constexpr double kListLagFactor = 2;
/// Seconds. Added to that time, to allow for timer steps.
constexpr double kListLagMargin = 1;

/// Whether so many machines are affected at once that the network is the likely cause.
bool likely_partition(std::size_t affected, std::size_t total) {
  return affected * kPartitionRatio > total && affected > 1;
}

}  // namespace

bool HealthReview::HeartbeatCounts::partitioned() const { return likely_partition(silent, total); }

HealthReview::HealthReview(const config::Settings& settings, state::Model& model,
                           const MachineList& machine_list, Terminations& terminations,
                           double takeover_at)
    : settings_(settings),
      model_(model),
      machine_list_(machine_list),
      terminations_(terminations),
      takeover_at_(takeover_at) {}

void HealthReview::review(double now) {
  Findings findings;
  for (auto& [id, owned_machine] : model_.machines()) {
    auto& machine = *owned_machine;
    if (machine.terminating || machine.reported_failed) {
      terminations_.mark(machine);
    } else if (machine.heartbeat_received) {
      review_running(machine, findings, now);
    } else {
      review_booting(machine, now);
    }
  }
  terminate_unresponsive(findings, now);
  terminate_silent(findings, now);
}

void HealthReview::review_running(state::Machine& machine, Findings& findings, double now) {
  const bool silent = machine.silent_for(now) > settings_.heartbeat_timeout_s();
  const bool unusable = machine.quarantined || machine.fences_running_out();
  if (machine.tasks.empty() && unusable) {
    terminations_.mark(machine);
  } else if (silent) {
    findings.silent.push_back(&machine);
  } else if (machine.unresponsive) {
    findings.unresponsive.push_back(&machine);
  }
  for (auto* counts : {&findings.fleet, &findings.zones[machine.zone]}) {
    ++counts->total;
    if (silent) ++counts->silent;
  }
}

void HealthReview::review_booting(state::Machine& machine, double now) {
  const auto* machine_type = model_.machine_type(machine.type);
  if (machine_type == nullptr || !machine.tasks.empty()) return;
  const double boot_timeout = k::kBootTimeoutFactor * boot_time_s(*machine_type);
  // A machine provisioned by a former leader may have been up for long without having contacted
  // this leader yet. It therefore also gets the length of a lease, counted from the takeover.
  const double waiting_since = std::max(
      machine.provisioned_at, takeover_at_ + settings_.lease_expired_after_s() - boot_timeout);
  if (now - waiting_since <= boot_timeout) return;
  spdlog::info("machine {} sent no first heartbeat in time; deleting it", machine.id);
  terminations_.mark(machine);
}

void HealthReview::terminate_unresponsive(const Findings& findings, double now) {
  if (likely_partition(findings.unresponsive.size(), findings.fleet.total)) return;
  const double timeout = k::kUnresponsiveLeases * settings_.lease_expired_after_s();
  for (auto* machine : findings.unresponsive) {
    if (now - machine->unacknowledged_since > timeout) terminations_.mark(*machine);
  }
}

void HealthReview::terminate_silent(const Findings& findings, double now) {
  const double lease = settings_.lease_expired_after_s();
  const double unlisted_timeout = kListLagFactor * settings_.list_lag_s + kListLagMargin;
  for (auto* machine : findings.silent) {
    const double silent_for = machine->silent_for(now);
    const bool gone_from_list =
        machine_list_.read_once() && !machine->listed && silent_for > unlisted_timeout;
    const bool partition =
        findings.fleet.partitioned() || findings.zones.at(machine->zone).partitioned();
    const double timeout =
        lease + (partition ? kPartitionExtraLeases * lease : lease * kSilentExtraLeases);
    if (gone_from_list || silent_for > timeout) terminations_.mark(*machine);
  }
}

}  // namespace elmstall::autoscaler
