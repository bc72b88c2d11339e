#include "support/world.hpp"

#include <algorithm>

namespace elmstall::test {

void FakeWorkerRpc::send_commands(const std::string& addr, std::uint64_t token, std::uint64_t epoch,
                                  const std::vector<wire::WorkerCommand>& commands,
                                  std::function<void(clients::CommandResult)> done) {
  using Outcome = clients::CommandResult::Outcome;
  const auto give_up = [this, done](Outcome outcome) {
    world_.loop.after(2.0, [done, outcome] { done({outcome, std::nullopt}); });
  };
  const auto found = world_.workers.find(addr);
  if (found == world_.workers.end() || world_.no_direct) return give_up(Outcome::not_sent);
  auto* worker = found->second.get();
  const auto carry_out = [worker, token, epoch,
                          commands]() -> std::optional<clients::CommandResult> {
    if (worker->dead()) return std::nullopt;
    return worker->direct(token, epoch, commands);
  };
  const bool lost = worker->cut || worker->answers_dropped || world_.workers_cut(node_) ||
                    !world_.reachable(node_, worker->zone()) || world_.random() < world_.loss;
  if (worker->hung()) {
    // Taken by its network, read when it goes on.
    world_.loop.at(worker->hung_until() + 0.001, [carry_out] { (void)carry_out(); });
    return give_up(Outcome::unknown);
  }
  if (world_.hold_commands > 0) {
    world_.loop.after(world_.hold_commands, [carry_out] { (void)carry_out(); });
    return give_up(Outcome::unknown);
  }
  if (lost) {
    if (world_.random() < 0.4) return give_up(Outcome::not_sent);
    // Held on the way, and executed whenever the way is free again.
    if (world_.random() < 0.7)
      world_.loop.after(1 + 60 * world_.random(), [carry_out] { (void)carry_out(); });
    return give_up(Outcome::unknown);
  }
  world_.loop.after(0.002, [this, carry_out, done, give_up] {
    auto result = carry_out();
    if (!result) return give_up(Outcome::not_sent);
    if (world_.on_commands) world_.on_commands();
    if (world_.lose_replies || world_.random() < world_.loss) return give_up(Outcome::unknown);
    world_.loop.after(0.002, [done, result = std::move(*result)] { done(result); });
  });
}

// --- cloud -----------------------------------------------------------------------

void FakeCloud::machine_types(
    std::function<void(std::optional<std::vector<wire::MachineType>>)> done) {
  world_.loop.after(0.1, [this, done = std::move(done)] {
    done(down ? std::nullopt : std::optional(world_.machine_types));
  });
}

void FakeCloud::list(const std::string&, std::function<void(std::optional<wire::CloudPage>)> done) {
  wire::CloudPage page;
  for (const auto& [id, worker] : world_.workers) {
    if (worker->dead()) continue;
    page.machines.push_back({id, "", worker->type(), worker->zone(), worker->spot(),
                             wire::CloudMachine::State::running, 0});
  }
  history_[world_.loop.now()] = page;
  const double shown = world_.loop.now() - world_.settings.list_lag_s * (1 + world_.random());
  auto seen = history_.upper_bound(shown);
  const wire::CloudPage old =
      seen == history_.begin() ? wire::CloudPage{} : std::prev(seen)->second;
  world_.loop.after(
      0.1, [this, old, done = std::move(done)] { done(down ? std::nullopt : std::optional(old)); });
}

void FakeCloud::provision(const std::string& name, const std::string& type, const std::string& zone,
                          bool spot, int count,
                          std::function<void(clients::ProvisionResult)> done) {
  using Outcome = clients::ProvisionResult::Outcome;
  world_.loop.after(0.1, [=, this] {
    if (down) return done({Outcome::unavailable, {}});
    if (const auto known = served_.find(name); known != served_.end())
      return done({Outcome::ok, known->second});
    clients::ProvisionResult result{Outcome::ok, {}};
    for (int i = 0; i < count && capacity > 0; ++i, --capacity) {
      char id[32];
      std::snprintf(id, sizeof id, "host-%06zu", world_.workers.size());
      auto& worker = world_.workers[id] =
          std::make_unique<FakeWorker>(world_, id, type, zone, spot);
      result.machines.push_back(id);
      // Now and then one is up at once.
      world_.loop.after(world_.machine_types.front().ready_s *
                            (world_.random() < 0.1 ? 0.1 : 0.67 + 0.67 * world_.random()),
                        [raw = worker.get()] {
                          if (!raw->dead()) raw->start();
                        });
    }
    if (result.machines.empty()) return done({Outcome::no_capacity, {}});
    served_[name] = result.machines;
    if (lose_answers > 0 || world_.random() < 0.1) {
      lose_answers = std::max(0, lose_answers - 1);
      return done({Outcome::unknown, {}});
    }
    done(result);
  });
}

void FakeCloud::terminate(const std::vector<std::string>& machines,
                          std::function<void(bool)> done) {
  world_.loop.after(0.1, [=, this] {
    if (down) return done(false);
    for (const auto& id : machines) {
      const auto found = world_.workers.find(id);
      if (found == world_.workers.end() || found->second->dead()) continue;
      found->second->die();
      ++capacity;
    }
    done(true);
  });
}

// --- world -----------------------------------------------------------------------

struct World::Transport : peer::Transport {
  Transport(World& owner, std::size_t from) : world(owner), self(from) {}
  void broadcast(const peer::Message& message) override {
    for (std::size_t i = 0; i < world.nodes_.size(); ++i) {
      if (i != self) queued.emplace_back(i, message);
    }
  }
  void send(const std::string& node, const peer::Message& message) override {
    queued.emplace_back(static_cast<std::size_t>(node.back() - '0'), message);
  }
  void flush() override {
    if (queued.empty()) return;
    ++world.peer_flushes;
    world.peer_messages += queued.size();
    for (const auto& [to, message] : std::exchange(queued, {})) deliver(to, message);
  }
  void deliver(std::size_t to, const peer::Message& message) {
    if (world.peer_links_cut_[self] || world.peer_links_cut_[to]) return;
    if (!world.reachable(to, world.nodes_[self].settings.zone)) return;
    // Through the real encoding.
    world.loop.after(0.002, [this, to, bytes = peer::encode(message), &owner = world] {
      if (owner.nodes_[to].alive()) owner.nodes_[to].message(bytes);
    });
  }
  World& world;
  std::size_t self;
  std::vector<std::pair<std::size_t, peer::Message>> queued;
};

namespace {

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
      other_(std::move(other)) {
  machine_types = {{"m12", 12, 2, 96, 90, 0.5, 6, 2, 12, settings.zones}};
  settings.state_next = next;
  state.limits = settings.state;
  nodes_.resize(nodes);
  for (std::size_t i = 0; i < nodes; ++i) {
    nodes_[i].upgraded = !other_;
    auto& own = nodes_[i].settings = settings;
    own.node = "node-" + std::to_string(i);
    own.zone = settings.zones[i % 2];
    for (std::size_t j = 0; j < nodes; ++j) {
      if (j != i) own.peers.push_back({"node-" + std::to_string(j), settings.zones[j % 2], ""});
    }
    boot(i);
  }
  watch_time();
}

World::~World() {
  for (auto& process : nodes_) {
    process.node.reset();
    process.other.reset();
  }
}

void World::boot(std::size_t index) {
  auto& process = nodes_[index];
  const auto seed = static_cast<unsigned>(generator());
  process.event_loop =
      std::make_unique<VirtualEventLoop>(loop, seed, clocks_.contains(index) ? clocks_[index] : 1);
  const auto road = process.store ? process.store->road : FakeStore::Road{};
  if (process.store) old_stores_.push_back(std::move(process.store));
  process.store = std::make_unique<FakeStore>(loop, state, seed + 1);
  process.store->road = road;
  if (!process.worker_rpc) process.worker_rpc = std::make_unique<FakeWorkerRpc>(*this, index);
  process.transport = std::make_unique<Transport>(*this, index);
  auto incarnation = process.settings.node + "." + std::to_string(++process.incarnation);
  if (!process.upgraded) {
    process.other = other_({process.settings, *process.event_loop, *process.store, cloud,
                            *process.worker_rpc, *process.transport, std::move(incarnation)});
    return;
  }
  process.node = std::make_unique<controller::Node>(
      process.settings,
      controller::Node::Ports{*process.event_loop, *process.store, cloud, *process.worker_rpc},
      std::move(incarnation));
  process.node->start(*process.transport);
}

void World::crash(std::size_t node, double back_after) {
  auto& process = nodes_[node];
  if (!process.alive()) return;
  process.store->cut();
  process.node.reset();
  process.other.reset();
  // The objects stay until the restart: what is under way may still be
  // carried out on the other side.
  process.event_loop = std::make_unique<VirtualEventLoop>(loop, 1);
  loop.after(back_after, [this, node] { boot(node); });
}

bool World::reachable(std::size_t node, const std::string& zone) const {
  if (nodes_.empty() || nodes_[node].settings.zone == zone) return true;
  return !zones_apart_ && !zones_cut_.contains(zone) &&
         !zones_cut_.contains(nodes_[node].settings.zone);
}

void World::cut_zone(const std::string& zone, bool cut) {
  if (cut)
    zones_cut_.insert(zone);
  else
    zones_cut_.erase(zone);
  for (auto& process : nodes_) {
    if (process.settings.zone == zone) process.store->road.refused = cut;
  }
}

void World::state_down(bool down) {
  if (state.down && !down) {
    state.refresh_leases();
    state.down = false;
  }
  state.down = down;
}

void World::use_large_site() {
  const auto change = [](config::Settings& own) {
    own.heartbeat_interval_s = 10;
    own.lease_s = 45;
    own.cancel_s = 75;
    own.state.value_kb = 16;
    own.state.transaction_writes_max = 20;
  };
  change(settings);
  for (auto& process : nodes_) change(process.settings);
  state.limits = settings.state;
}

void World::lower_state_limits() {
  state.limits = settings.state_limits();
  state.limits_rate = true;
}

void World::take_back(std::size_t count) {
  for (auto& [id, worker] : workers) {
    if (count == 0) return;
    if (!worker->spot() || worker->dead()) continue;
    worker->die();
    ++cloud.capacity;
    --count;
  }
}

void World::send_to_node(std::size_t node, net::Request request, net::Responder respond) {
  if (carry) return carry(node, std::move(request), std::move(respond));
  if (!nodes_[node].alive() || worker_cut_[node]) return;
  nodes_[node].request(std::move(request), std::move(respond));
}

std::optional<net::Response> World::answer_of(std::size_t node, net::Request request,
                                              double patience) {
  // Outlives the wait: the answer may come after it.
  auto answer = std::make_shared<std::optional<net::Response>>();
  send_to_node(node, std::move(request),
               [answer](net::Response response) { *answer = std::move(response); });
  run_until(loop.now() + patience);
  return *answer;
}

const wire::JobSpec* World::spec(const std::string& id) const {
  const auto found = specs_.find(id);
  return found == specs_.end() ? nullptr : &found->second;
}

controller::Node* World::leader() {
  for (auto& process : nodes_) {
    if (process.node && process.node->leader() != nullptr &&
        process.node->leader()->leader_lease_valid())
      return process.node.get();
  }
  return nullptr;
}

bool World::other_leads() const {
  return std::any_of(nodes_.begin(), nodes_.end(), [](const Process& process) {
    return process.other && process.other->leads();
  });
}

void World::ask(std::size_t node, const std::string& method, const std::string& path,
                std::string body, double limit,
                std::function<void(std::optional<net::Response>)> done) {
  auto open = std::make_shared<bool>(true);
  auto finish = [open, done = std::move(done)](std::optional<net::Response> response) {
    if (std::exchange(*open, false)) done(std::move(response));
  };
  loop.after(limit, [finish] { finish(std::nullopt); });
  if (!nodes_[node].alive() || zones_cut_.contains(nodes_[node].settings.zone)) return;
  loop.after(0.002, [=, this, body = std::move(body)] {
    if (!nodes_[node].alive()) return;
    nodes_[node].request({method, path, body}, [this, finish](const net::Response& response) {
      if (random() < loss) return;
      loop.after(0.002, [finish, response] { finish(response); });
    });
  });
}

void World::expect(const wire::JobSpec& spec) {
  specs_[spec.id] = spec;
  rules.submitted(spec);
}

void World::submit(const wire::JobSpec& spec) {
  expect(spec);
  repeat_submit(spec, loop.now() + 60);
}

void World::repeat_submit(const wire::JobSpec& spec, double until) {
  wire::Packer packer;
  wire::pack_job(packer, spec);
  ask(pick(nodes_.size()), "POST", "/api/jobs", packer.take(), 5,
      [this, spec, until, asked = loop.now()](const std::optional<net::Response>& response) {
        if (response && response->status == 201) return rules.told_accepted(loop.now(), spec.id);
        if (response && response->status == 200) {
          const auto status = wire::decode_status(wire::Document::parse(response->body).root());
          return rules.told_status(loop.now(), spec.id, status.state, asked);
        }
        if (response && (response->status == 400 || response->status == 422))
          return rules.told_refused(spec.id);
        if (loop.now() < until)
          loop.after(1.0, [this, spec, until] { repeat_submit(spec, until); });
      });
}

void World::cancel(const std::string& id) {
  rules.cancel_asked(id);
  repeat_cancel(id, loop.now() + 60);
}

void World::repeat_cancel(const std::string& id, double until) {
  ask(pick(nodes_.size()), "POST", "/api/jobs/" + id + "/cancel", {}, 5,
      [this, id, until, asked = loop.now()](const std::optional<net::Response>& response) {
        if (response && response->status == 200) {
          const auto status = wire::decode_status(wire::Document::parse(response->body).root());
          told_[id] = status.state;
          return rules.told_status(loop.now(), id, status.state, asked);
        }
        if (response && response->status == 404) return rules.told_missing(id, asked);
        if (loop.now() < until) loop.after(1.0, [this, id, until] { repeat_cancel(id, until); });
      });
}

bool World::cancel_at(std::size_t node, const std::string& id, double patience) {
  rules.cancel_asked(id);
  const double asked = loop.now();
  auto cancelled = std::make_shared<bool>(false);
  send_to_node(node, {"POST", "/api/jobs/" + id + "/cancel", {}},
               [this, id, asked, cancelled](const net::Response& response) {
                 if (response.status == 404) return rules.told_missing(id, asked);
                 if (response.status != 200) return;
                 const auto state =
                     wire::decode_status(wire::Document::parse(response.body).root()).state;
                 told_[id] = state;
                 rules.told_status(loop.now(), id, state, asked);
                 *cancelled = state == wire::JobState::cancelled;
               });
  run_until(loop.now() + patience);
  return *cancelled;
}

std::vector<std::string> World::waiting_beside_room() const {
  std::vector<std::string> waiting;
  for (const auto& id : rules.accepted_jobs()) {
    const auto& job = specs_.at(id);
    const auto there = rules.present(id);
    if (rules.over(id) || there + rules.completed_tasks(id) >= job.tasks) continue;
    const sched::Amount need{job.cpus, job.gpus, job.memory_gb};
    const auto* team = settings.team(job.team);
    // A gang needs room for all that wait at once.
    if (job.kind == wire::JobKind::gang ||
        !sched::within_limit(*team, rules.used_by(job.team) + need))
      continue;
    const bool room = std::any_of(workers.begin(), workers.end(), [&](const auto& entry) {
      const auto& worker = *entry.second;
      if (worker.dead() || worker.cut || worker.answers_dropped || worker.heartbeats_dropped ||
          worker.hung() || !worker.heartbeats())
        return false;
      if ((worker.spot() && !job.spot) || (job.zone && *job.zone != worker.zone())) return false;
      const auto same = rules.in_zone(id, worker.zone());
      if (job.together && same != there) return false;
      if (job.spread && same + 1 > sched::spread_limit(job.tasks)) return false;
      const auto& type = machine_types.front();
      return need.fits(sched::Amount{type.cpus, type.gpus, type.memory_gb} -
                       rules.used_on(worker.id()) - worker.fetching());
    });
    if (room) waiting.push_back(id);
  }
  return waiting;
}

void World::poll(const std::string& id) {
  ask(pick(nodes_.size()), "GET", "/api/jobs/" + id, {}, 2,
      [this, id, asked = loop.now()](const std::optional<net::Response>& response) {
        if (response && response->status == 404) return rules.told_missing(id, asked);
        if (!response || response->status != 200) return;
        const auto status = wire::decode_status(wire::Document::parse(response->body).root());
        told_[id] = status.state;
        answered_[id] = loop.now();
        rules.told_status(loop.now(), id, status.state, asked);
      });
}

double World::replied_at(const std::string& id) const {
  const auto found = answered_.find(id);
  return found == answered_.end() ? -1 : found->second;
}

std::optional<wire::JobState> World::last_told(const std::string& id) const {
  const auto found = told_.find(id);
  if (found == told_.end()) return std::nullopt;
  return found->second;
}

void World::watch_time() {
  rules.check_time(loop.now());
  loop.after(0.5, [this] { watch_time(); });
}

}  // namespace elmstall::test
