#include "autoscaler/provisioning.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace elmstall::autoscaler {

namespace k = constants;

namespace {

/// Ratio by which the back-off grows each time a pool has no capacity.
constexpr double kBackoffFactor = 2;

const char* spot_suffix(const PoolKey& pool) { return pool.spot ? " (spot)" : ""; }

}  // namespace

Provisioning::Provisioning(const config::Settings& settings, runtime::EventLoop& event_loop,
                           runtime::CommandQueue& queue, clients::Cloud& cloud, state::Model& model,
                           std::uint64_t term)
    : settings_(settings),
      loop_(event_loop),
      cloud_(cloud),
      model_(model),
      term_(term),
      scope_(queue) {}

void Provisioning::begin_round() {
  requests_left_ = settings_.cloud_rps * k::kProvisionRateShare * k::kAutoscaleInterval;
}

int Provisioning::pending_machines(const PoolKey& pool) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.pending_machines;
}

bool Provisioning::backing_off(const PoolKey& pool, double now) const {
  const auto found = pools_.find(pool);
  return found != pools_.end() && found->second.backoff_until > now;
}

void Provisioning::scale_out(const PoolKey& pool, int machines) {
  // Requests are spread over several rounds only where the rate limit requires it: a machine that
  // is requested later also boots later.
  while (machines > 0 && requests_left_ >= 1) {
    const Request request{pool, next_request_name(),
                          std::min(machines, k::kMaxMachinesPerProvision)};
    pools_[pool].pending_machines += request.machines;
    send(request);
    machines -= request.machines;
    requests_left_ -= 1;
  }
}

std::string Provisioning::next_request_name() {
  return "r-" + std::to_string(term_) + "-" + std::to_string(next_request_number_++);
}

void Provisioning::send(const Request& request) {
  const auto& pool = request.pool;
  spdlog::info("renting {} x {} in {}{} as {}", request.machines, pool.machine_type, pool.zone,
               spot_suffix(pool), request.name);
  cloud_.provision(request.name, pool.machine_type, pool.zone, pool.spot, request.machines,
                   scope_.wrap([this, request](const clients::ProvisionResult& result) {
                     on_result(request, result);
                   }));
}

void Provisioning::on_result(const Request& request, const clients::ProvisionResult& result) {
  using Outcome = clients::ProvisionResult::Outcome;
  if (result.outcome == Outcome::unknown || result.outcome == Outcome::unavailable) {
    // The request is repeated under the same name. If the cloud has carried it out already, it
    // answers with the same machines instead of provisioning more (rule 9).
    loop_.after(k::kAutoscaleInterval, scope_.wrap([this, request] { send(request); }));
    return;
  }
  auto& state = pools_[request.pool];
  const double now = loop_.now();
  state.pending_machines -= request.machines;
  if (result.outcome == Outcome::ok) add_machines(request.pool, result.machines, now);
  const bool complete = result.outcome == Outcome::ok &&
                        result.machines.size() == static_cast<std::size_t>(request.machines);
  if (complete) {
    state.next_backoff_s = k::kNoCapacityPause;
  } else {
    back_off(state, request.pool, now);
  }
}

void Provisioning::add_machines(const PoolKey& pool, const std::vector<std::string>& machine_ids,
                                double now) {
  for (const auto& id : machine_ids) {
    auto& machine = model_.machine(id);
    if (machine.type.empty())
      model_.update_attributes(machine, pool.machine_type, pool.zone, pool.spot, "");
    if (machine.provisioned_at == state::kNever) machine.provisioned_at = now;
  }
}

void Provisioning::back_off(PoolState& state, const PoolKey& pool, double now) {
  // Several requests of one round may fail for the same lack of capacity: that counts once.
  if (state.backoff_until > now) return;
  state.backoff_until = now + state.next_backoff_s;
  state.next_backoff_s = std::min(state.next_backoff_s * kBackoffFactor, k::kNoCapacityPauseMax);
  spdlog::info("no capacity for {} in {}{}", pool.machine_type, pool.zone, spot_suffix(pool));
}

}  // namespace elmstall::autoscaler
