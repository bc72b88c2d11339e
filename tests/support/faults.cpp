#include "support/faults.hpp"

namespace elmstall::test {

wire::JobSpec random_job(World& world, int number) {
  wire::JobSpec job;
  job.id = "job-" + std::to_string(number);
  job.team = world.random() < 0.5 ? "red" : "blue";
  job.job_class = "batch";
  job.cpus = 3 + world.random() * 5;
  job.gpus = 1;
  job.memory_gb = 20;
  job.image = "img-" + std::to_string(world.pick(3));
  job.image_gb = world.random() * 3;
  job.tasks = 1 + static_cast<std::uint32_t>(world.pick(8));
  job.expect_s = 2 + world.random() * 20;
  job.spot = world.random() < 0.6;
  job.together = world.random() < 0.2;
  job.spread = !job.together && world.random() < 0.3;
  if (world.random() < 0.2 && !job.spread) job.zone = world.settings.zones[world.pick(2)];
  if (world.random() < 0.3) {
    job.checkpoint_every_s = 5;
    job.checkpoint_s = 1;
  }
  if (world.random() < 0.4) {
    job.kind = wire::JobKind::service;
    job.job_class = "live";
    job.expect_s = 0;
    job.tasks = 1 + static_cast<std::uint32_t>(world.pick(4));
    job.priority = wire::Priority::critical;
  } else {
    job.priority = static_cast<wire::Priority>(world.pick(3));
    if (world.random() < 0.15) job.kind = wire::JobKind::gang;
  }
  return job;
}

wire::JobSpec random_gang(World& world, int number) {
  auto job = random_job(world, number);
  job.kind = wire::JobKind::gang;
  job.job_class = "joint";
  job.priority = wire::Priority::normal;
  job.cpus = 1 + world.random() * 3;
  job.gpus = world.random() < 0.3 ? 1 : 0;
  job.memory_gb = 10;
  job.tasks = 1 + static_cast<std::uint32_t>(world.pick(6));
  job.expect_s = 5 + world.random() * 20;
  job.together = world.random() < 0.6;
  job.spread = !job.together && world.random() < 0.3;
  job.zone.reset();
  job.checkpoint_every_s = world.random() < 0.7 ? 5 : 0;
  job.checkpoint_s = 1 + world.random() * 2;
  return job;
}

namespace {

void after(World& world, double delay, std::function<void()> fn) {
  world.loop.after(delay, std::move(fn));
}

FakeWorker* random_worker(World& world) {
  if (world.workers.empty()) return nullptr;
  return std::next(world.workers.begin(),
                   static_cast<std::ptrdiff_t>(world.pick(world.workers.size())))
      ->second.get();
}

void refuse_node(World& world, std::size_t node, double length) {
  world.store(node).faults.refused = true;
  after(world, length, [&world, node] { world.store(node).faults.refused = false; });
}

void begin_state_outage(World& world, double length) {
  world.stop_state_store();
  after(world, length, [&world] { world.restore_state_store(); });
}

/// Index of the node that leads; `node` if none does.
std::size_t leader_or(World& world, std::size_t node) {
  for (std::size_t i = 0; i < world.node_count(); ++i) {
    if (world.node(i) != nullptr && world.node(i) == world.leader()) return i;
  }
  return node;
}

void crash_one(World& world, std::size_t node, double) {
  world.crash(node, 0.1 + world.random() * 8);
}

void crash_all(World& world, std::size_t, double) {
  for (std::size_t i = 0; i < 3; ++i) world.crash(i, 0.2 + world.random() * 8);
}

void state_outage(World& world, std::size_t, double length) { begin_state_outage(world, length); }

void node_refused(World& world, std::size_t node, double length) {
  refuse_node(world, node, length);
}

void zones_partitioned(World& world, std::size_t, double length) {
  world.network.partition_zones();
  after(world, length, [&world] { world.network.heal_partition(); });
}

void peer_links_cut(World& world, std::size_t node, double length) {
  world.network.cut_peer_links(node);
  after(world, length, [&world, node] { world.network.restore_peer_links(node); });
}

void node_cut_from_workers(World& world, std::size_t node, double length) {
  world.network.cut_workers(node);
  after(world, length, [&world, node] { world.network.restore_workers(node); });
}

void cloud_outage(World& world, std::size_t, double length) {
  world.cloud.down = true;
  after(world, length, [&world] { world.cloud.down = false; });
}

void spot_reclaimed(World& world, std::size_t, double) {
  world.reclaim_spot_machines(1 + world.pick(3));
}

void machine_cut(World& world, std::size_t, double length) {
  auto* worker = random_worker(world);
  if (worker == nullptr) return;
  worker->cut = true;
  after(world, length, [worker] { worker->cut = false; });
}

void lossy_state(World& world, std::size_t node, double length) {
  world.store(node).faults = {false, 0.2, 0.5};
  after(world, length, [&world, node] { world.store(node).faults = {}; });
}

/// Controllers restart at once, and again during the following election.
void quick_restarts(World& world, std::size_t node, double) {
  for (std::size_t i = 0; i < 3; ++i) world.crash(i, 0.05 + world.random() * 0.4);
  after(world, 0.1 + world.random() * 0.6, [&world, node] { world.crash(node, 0.05); });
  after(world, 0.3 + world.random() * 3, [&world, node] { world.crash((node + 1) % 3, 0.1); });
}

/// The node reaches its workers, but neither the state store nor its peers.
void node_isolated(World& world, std::size_t node, double length) {
  refuse_node(world, node, length);
  peer_links_cut(world, node, length);
}

/// Heartbeats arrive, but responses and commands do not reach the worker.
void machine_unresponsive(World& world, std::size_t, double length) {
  auto* worker = random_worker(world);
  if (worker == nullptr) return;
  worker->responses_dropped = true;
  after(world, length, [worker] { worker->responses_dropped = false; });
}

void duplicated_heartbeats(World& world, std::size_t, double length) {
  for (auto& [id, worker] : world.workers) worker->duplicate_share = 0.3;
  after(world, length, [&world] {
    for (auto& [id, worker] : world.workers) worker->duplicate_share = 0;
  });
}

void command_rpcs_blocked(World& world, std::size_t, double length) {
  world.network.command_rpcs_blocked = true;
  after(world, length, [&world] { world.network.command_rpcs_blocked = false; });
}

/// Cuts off a zone from everything outside it.
void zone_cut(World& world, std::size_t node, double length) {
  const auto zone = world.settings.zones[world.pick(2)];
  world.cut_zone(zone);
  if (world.random() < 0.3)
    after(world, 1 + world.random() * 5,
          [&world, node] { world.crash(node, 0.1 + world.random() * 5); });
  after(world, length * 2, [&world, zone] { world.restore_zone(zone); });
}

/// About a third of the machines are lost; the cloud's list, which lags, shows this late.
void machines_lost(World& world, std::size_t, double) {
  for (auto& [id, worker] : world.workers) {
    if (worker->dead() || world.random() > 0.3) continue;
    worker->die();
    ++world.cloud.capacity;
  }
}

void machines_hang(World& world, std::size_t, double) {
  for (auto& [id, worker] : world.workers) {
    if (!worker->dead() && world.random() < 0.4) worker->hang(1 + world.random() * 20);
  }
}

void node_frozen(World& world, std::size_t node, double length) {
  world.freeze(node, length);
  if (world.random() < 0.3) world.freeze((node + 1) % 3, length * world.random());
}

// --- faults that overlap --------------------------------------------------------------

void late_writes(World& world, std::size_t, double length) {
  const auto share = [](World& all, double value) {
    for (std::size_t i = 0; i < all.node_count(); ++i) all.store(i).faults.late_write_share = value;
  };
  share(world, 0.3);
  after(world, length, [&world, share] { share(world, 0); });
}

void slow_state(World& world, std::size_t, double length) {
  const auto slow = [](World& all, double value) {
    for (std::size_t i = 0; i < all.node_count(); ++i)
      all.store(i).faults.max_added_delay_s = value;
  };
  slow(world, 1.2);
  after(world, length, [&world, slow] { slow(world, 0); });
}

void machines_lose_heartbeats(World& world, std::size_t, double length) {
  for (auto& [id, worker] : world.workers) {
    if (world.random() > 0.3) continue;
    worker->heartbeats_dropped = true;
    after(world, length, [raw = worker.get()] { raw->heartbeats_dropped = false; });
  }
}

void machines_unresponsive(World& world, std::size_t, double length) {
  for (auto& [id, worker] : world.workers) {
    if (world.random() > 0.3) continue;
    worker->responses_dropped = true;
    after(world, length, [raw = worker.get()] { raw->responses_dropped = false; });
  }
}

void delayed_commands(World& world, std::size_t, double length) {
  world.network.command_delay_s = 1 + world.random() * 50;
  after(world, length, [&world] { world.network.command_delay_s = 0; });
}

void lost_replies(World& world, std::size_t, double length) {
  world.network.command_replies_lost = true;
  after(world, length, [&world] { world.network.command_replies_lost = false; });
}

/// Users cancel up to four running jobs at once; in half of the cases machines hang.
void cancel_running_jobs(World& world, std::size_t, double length) {
  int left = 4;
  for (const auto& id : world.rules.accepted_jobs()) {
    if (left == 0 || world.rules.tasks_on_machines(id) == 0 || world.rules.final_state_reported(id))
      continue;
    --left;
    after(world, world.random() * 0.2, [&world, id] { world.cancel(id); });
  }
  if (world.random() < 0.5) return;
  for (auto& [id, worker] : world.workers) {
    if (!worker->dead() && world.random() < 0.3) worker->hang(length);
  }
}

void cancel_at_end(World& world, std::size_t, double length) {
  world.on_last_task_end = [&world](const std::string& id) {
    if (world.random() < 0.7)
      world.loop.after(world.random() * 0.05, [&world, id] { world.cancel(id); });
  };
  after(world, length, [&world] { world.on_last_task_end = {}; });
}

void odd_requests(World& world, std::size_t, double length) {
  for (const auto& id : world.rules.accepted_jobs()) {
    after(world, world.random() * length, [&world, id] {
      if (!world.rules.final_state_reported(id))
        world.submit(*world.spec(id));
      else if (world.last_reported_state(id) == wire::JobState::done)
        world.cancel(id);
    });
  }
}

void leader_refused(World& world, std::size_t node, double length) {
  refuse_node(world, leader_or(world, node), length);
}
void leader_isolated(World& world, std::size_t node, double length) {
  node_isolated(world, leader_or(world, node), length);
}
void leader_crash(World& world, std::size_t node, double) {
  world.crash(leader_or(world, node), world.random() < 0.5 ? 0.1 : 6);
}
void leader_frozen(World& world, std::size_t node, double length) {
  world.freeze(leader_or(world, node), length);
}

/// Longer than `cancel_s`.
void long_outage(World& world, std::size_t, double) {
  begin_state_outage(world, 42 + world.random() * 15);
}

}  // namespace

const std::vector<Fault>& single_faults() {
  static const std::vector<Fault> all{{"crash", crash_one},
                                      {"crash all", crash_all},
                                      {"state outage", state_outage},
                                      {"node refused", node_refused},
                                      {"zones partitioned", zones_partitioned},
                                      {"peer links cut", peer_links_cut},
                                      {"cut from workers", node_cut_from_workers},
                                      {"cloud outage", cloud_outage},
                                      {"spot machines reclaimed", spot_reclaimed},
                                      {"machine cut", machine_cut},
                                      {"lossy state", lossy_state},
                                      {"quick restarts", quick_restarts},
                                      {"node isolated", node_isolated},
                                      {"machine unresponsive", machine_unresponsive},
                                      {"duplicated heartbeats", duplicated_heartbeats},
                                      {"command RPCs blocked", command_rpcs_blocked},
                                      {"zone cut", zone_cut},
                                      {"machines lost", machines_lost},
                                      {"machines hang", machines_hang},
                                      {"node frozen", node_frozen}};
  return all;
}

const std::vector<Fault>& concurrent_faults() {
  static const std::vector<Fault> all{{"leader refused", leader_refused},
                                      {"long outage", long_outage},
                                      {"state outage", state_outage},
                                      {"slow state", slow_state},
                                      {"late writes", late_writes},
                                      {"lossy state", lossy_state},
                                      {"leader isolated", leader_isolated},
                                      {"peer links cut", peer_links_cut},
                                      {"leader crash", leader_crash},
                                      {"crash all", crash_all},
                                      {"quick restarts", quick_restarts},
                                      {"leader frozen", leader_frozen},
                                      {"cut from workers", node_cut_from_workers},
                                      {"zone cut", zone_cut},
                                      {"zones partitioned", zones_partitioned},
                                      {"machines lose heartbeats", machines_lose_heartbeats},
                                      {"machines unresponsive", machines_unresponsive},
                                      {"machine cut", machine_cut},
                                      {"duplicated heartbeats", duplicated_heartbeats},
                                      {"delayed commands", delayed_commands},
                                      {"lost replies", lost_replies},
                                      {"command RPCs blocked", command_rpcs_blocked},
                                      {"machines hang", machines_hang},
                                      {"machines lost", machines_lost},
                                      {"spot machines reclaimed", spot_reclaimed},
                                      {"cloud outage", cloud_outage},
                                      {"cancel running jobs", cancel_running_jobs},
                                      {"cancel at end", cancel_at_end},
                                      {"odd requests", odd_requests}};
  return all;
}

}  // namespace elmstall::test
