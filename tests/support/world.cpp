#include "support/world.hpp"

#include <algorithm>

namespace elmstall::test {

namespace {

constexpr double kRuleCheckInterval = 0.5;

config::Settings make_settings() {
  config::Settings settings;
  settings.zones = {"north", "south"};
  settings.teams = {{"red", 0, 0, 4, 8}, {"blue", 0, 0, 0, 0}};
  settings.objectives = {{"finished", "batch", 90, 0.9}};
  settings.heartbeat_interval_s = 1.5;
  settings.lease_s = 10;
  settings.cancel_s = 40;
  settings.gang_wait_s = 30;
  settings.gang_peer_s = 8;
  settings.state.rps = 120;
  settings.state.write_rps = 25;
  settings.state.value_kb = 1;  // small blocks, so that jobs have several
  settings.state.transaction_writes_max = 8;
  settings.cloud_rps = 8;
  settings.list_lag_s = 3;
  settings.cores = 0.1;
  settings.memory_mb = 56;
  settings.fd_limit = 900;
  return settings;
}

}  // namespace

World::World(unsigned seed, std::size_t nodes, std::optional<config::StateLimits> next,
             OtherNodeFactory other)
    : generator(seed),
      settings(make_settings()),
      rules(settings),
      gangs(*this),
      state(loop),
      cloud(*this),
      command_copies(*this, seed),
      message_copies(loop, seed),
      users(*this),
      processes(*this, std::move(other)) {
  machine_types = {{"m12", 12, 2, 96, 90, 0.5, 6, 2, 12, settings.zones}};
  settings.state_next = next;
  state.limits = settings.state;
  processes.start(nodes);
  check_rules_periodically();
}

void World::send_to_node(std::size_t node, net::Request request, net::Responder respond) {
  if (external_delivery) return external_delivery(node, std::move(request), std::move(respond));
  if (!processes.at(node).alive() || network.workers_cut(node)) return;
  processes.at(node).request(std::move(request), std::move(respond));
}

std::optional<net::Response> World::response_of(std::size_t node, net::Request request,
                                                double wait_s) {
  // Shared, because the response may arrive after the wait.
  auto response = std::make_shared<std::optional<net::Response>>();
  send_to_node(node, std::move(request),
               [response](net::Response received) { *response = std::move(received); });
  run_for(wait_s);
  return *response;
}

void World::use_large_fleet_settings() {
  const auto change = [](config::Settings& own) {
    own.heartbeat_interval_s = 10;
    own.lease_s = 45;
    own.cancel_s = 75;
    own.state.value_kb = 16;
    own.state.transaction_writes_max = 20;
  };
  change(settings);
  for (auto& process : processes.all()) change(process.settings);
  state.limits = settings.state;
}

void World::restore_state_store() {
  if (state.down) state.refresh_leases();
  state.down = false;
}

void World::lower_state_limits() {
  state.limits = settings.state_limits();
  state.enforce_write_rate = true;
}

void World::cut_zone(const std::string& zone) {
  network.cut_zone(zone);
  set_state_store_refused(zone, true);
}

void World::restore_zone(const std::string& zone) {
  network.restore_zone(zone);
  set_state_store_refused(zone, false);
}

void World::set_state_store_refused(const std::string& zone, bool refused) {
  for (auto& process : processes.all()) {
    if (process.settings.zone == zone) process.store->faults.refused = refused;
  }
}

bool World::reachable(std::size_t node, const std::string& zone) const {
  return processes.empty() || network.zones_connected(processes.at(node).settings.zone, zone);
}

void World::reclaim_spot_machines(std::size_t count) {
  for (auto& [id, worker] : workers) {
    if (count == 0) return;
    if (!worker->spot() || worker->dead()) continue;
    worker->die();
    ++cloud.capacity;
    --count;
  }
}

void World::check_rules_periodically() {
  rules.check_cancel_deadlines(loop.now());
  for (auto& process : processes.all()) {
    if (process.node && process.node->answer_counts().withheld > 0)
      rules.record_withheld_response(process.settings.node);
  }
  loop.after(kRuleCheckInterval, [this] { check_rules_periodically(); });
}

}  // namespace elmstall::test
