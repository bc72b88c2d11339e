#include "soak/site.hpp"

#include <toml++/toml.h>

#include <fstream>
#include <sstream>
#include <utility>

#include "config/endpoint.hpp"
#include "store/records.hpp"
#include "support/loopback.hpp"

namespace elmstall::soak {

namespace {

constexpr double kUserTimeout = 6;
constexpr std::size_t kUserConnections = 64;
constexpr double kWorkerTimeout = 4;
/// From this number of machines on, workers send heartbeats less often.
constexpr int kManyWorkers = 100;
constexpr double kAffectedWorkerShare = 0.3;  // share
constexpr double kCopiedCommandShare = 0.5;   // share
constexpr std::size_t kCancelWaveSize = 8;    // jobs

/// Short intervals, so that many leases and cancellations fit into a run.
void configure_world(test::World& world, const Options& options) {
  auto& settings = world.settings;
  const bool many = options.workers >= kManyWorkers;
  settings.heartbeat_interval_s = many ? 1.5 : 0.4;
  settings.lease_s = many ? 7 : 5;
  settings.cancel_s = many ? 16 : 14;
  settings.gang_wait_s = 8;
  settings.gang_peer_s = 3;
  settings.list_lag_s = 0.3;
  settings.state = {400, 90, 4, 8};
  settings.cloud_rps = 15;
  settings.cores = 1;
  world.state.limits = settings.state;
  world.machine_types.front().ready_s = 1;
  world.cloud.capacity = options.workers;
  world.external_node_count = options.controllers;
}

toml::table worker_table(const config::Settings& settings) {
  return toml::table{{"report_s", settings.heartbeat_interval_s},
                     {"lease_s", settings.lease_s},
                     {"gang_wait_s", settings.gang_wait_s},
                     {"gang_peer_s", settings.gang_peer_s},
                     {"cancel_s", settings.cancel_s}};
}

toml::array team_tables(const config::Settings& settings) {
  toml::array teams;
  for (const auto& team : settings.teams) {
    teams.push_back(toml::table{{"name", team.name},
                                {"cpus", team.cpus},
                                {"cpus_max", team.cpus_max},
                                {"gpus", team.gpus},
                                {"gpus_max", team.gpus_max}});
  }
  return teams;
}

toml::table deployment_table(const config::Settings& settings) {
  toml::array zones;
  for (const auto& zone : settings.zones) zones.push_back(zone);
  return toml::table{
      {"zones", zones},
      {"skew_ms", 100.0},
      {"teams", team_tables(settings)},
      {"workers", worker_table(settings)},
      {"state", toml::table{{"rps", settings.state.rps},
                            {"write_rps", settings.state.write_rps},
                            {"value_kb", settings.state.value_kb},
                            {"txn_ops", settings.state.transaction_writes_max}}},
      {"cloud", toml::table{{"rps", settings.cloud_rps}, {"list_lag_s", settings.list_lag_s}}},
      {"quota", toml::table{{"cores", settings.cores},
                            {"memory_mb", settings.memory_mb},
                            {"fd_limit", settings.fd_limit}}}};
}

std::unique_ptr<TcpProxy> proxy_to(asio::io_context& io, const std::string& address) {
  return std::make_unique<TcpProxy>(io, config::parse_endpoint(address));
}

std::string loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

Site::Site(asio::io_context& io, const Options& options, unsigned seed,
           const std::filesystem::path& folder)
    : io_(io),
      world_(seed, 0),
      real_time_(io, world_.loop),
      worker_servers_(io, world_),
      cloud_(io, world_) {
  configure_world(world_, options);
  world_.worker_address = [this](const std::string& machine) {
    return worker_servers_.address_of(machine);
  };
  links_.resize(options.controllers);
  choose_addresses(options.port_base);
  for (std::size_t node = 0; node < links_.size(); ++node) connect(node, options.state_page);
  for (std::size_t node = 0; node < links_.size(); ++node) {
    const auto name = test::node_name(node);
    controllers_.push_back(std::make_unique<ControllerChild>(
        options.binary, write_settings(node, folder), folder / (name + ".log")));
  }
  world_.external_delivery = [this](std::size_t node, const net::Request& request,
                                    const net::Responder& respond) {
    deliver(node, request, respond);
  };
}

Site::~Site() { world_.external_delivery = {}; }

void Site::choose_addresses(int port_base) {
  test::LoopbackAddresses addresses(io_);
  const auto next = [&] {
    return port_base == 0 ? addresses.next() : "127.0.0.1:" + std::to_string(port_base++);
  };
  for (std::size_t node = 0; node < links_.size(); ++node) {
    api_addresses_.push_back(next());
    peer_addresses_.push_back(next());
  }
}

void Site::connect(std::size_t node, std::size_t state_page) {
  auto& links = links_[node];
  links.state = std::make_unique<test::StateStoreServer>(io_, world_);
  links.state->page_size = state_page;
  links.to_state = proxy_to(io_, loopback(links.state->port()));
  links.to_cloud = proxy_to(io_, loopback(cloud_.port()));
  links.from_workers = proxy_to(io_, api_addresses_[node]);
  links.from_users = proxy_to(io_, api_addresses_[node]);
  for (std::size_t peer = 0; peer < links_.size(); ++peer) {
    links.to_peers.push_back(peer == node ? nullptr : proxy_to(io_, peer_addresses_[peer]));
  }
  const auto client = [this](const TcpProxy& proxy, std::size_t connections) {
    return std::make_unique<net::HttpClient>(io_, config::parse_endpoint(proxy.address()),
                                             connections);
  };
  links.workers = client(*links.from_workers, static_cast<std::size_t>(world_.cloud.capacity));
  links.users = client(*links.from_users, kUserConnections);
}

std::filesystem::path Site::write_settings(std::size_t node,
                                           const std::filesystem::path& folder) const {
  const auto& links = links_[node];
  const auto& zones = world_.settings.zones;
  toml::array known;
  for (std::size_t peer = 0; peer < links_.size(); ++peer) {
    if (peer == node) continue;
    known.push_back(toml::table{{"node_name", test::node_name(peer)},
                                {"area", zones[peer % zones.size()]},
                                {"endpoint", links.to_peers[peer]->address()}});
  }
  const toml::table settings{{"node_name", test::node_name(node)},
                             {"area", zones[node % zones.size()]},
                             {"api_addr", api_addresses_[node]},
                             {"mesh_addr", peer_addresses_[node]},
                             {"known", known},
                             {"endpoints", toml::table{{"cloud", links.to_cloud->address()},
                                                       {"state", links.to_state->address()}}},
                             {"deployment", deployment_table(world_.settings)}};
  auto file = folder / (test::node_name(node) + ".toml");
  std::ofstream(file) << settings << '\n';
  return file;
}

void Site::start_controllers() {
  for (auto& controller : controllers_) {
    if (!controller->running()) controller->start();
  }
}

void Site::deliver(std::size_t node, const net::Request& request, const net::Responder& respond) {
  const bool from_worker = request.path == "/v1/report";
  auto& client = from_worker ? *links_[node].workers : *links_[node].users;
  client.request(request.method, request.path, request.body,
                 from_worker ? kWorkerTimeout : kUserTimeout,
                 [this, respond](const net::Reply& reply) {
                   // Before the response counts as received, see `RealTime::advance`.
                   real_time_.advance();
                   constexpr int unavailable = 503;
                   respond({reply.status == 0 ? unavailable : reply.status, reply.body, 0});
                 });
}

// --- faults --------------------------------------------------------------------------

void Site::run_after(double seconds, std::function<void()> undo) {
  world_.loop.after(seconds, std::move(undo));
}

std::optional<std::size_t> Site::leader() const {
  const auto& items = world_.state.items();
  const auto found = items.find(std::string(store::kLeadKey));
  if (found == items.end()) return std::nullopt;
  return test::node_index(store::decode_lead(found->second.value).node);
}

void Site::kill(std::size_t node, double back_after_s) {
  controllers_[node]->kill();
  run_after(back_after_s, [this, node] {
    if (!controllers_[node]->running()) controllers_[node]->start();
  });
}

void Site::begin_fault(const PlannedFault& fault) {
  switch (fault.kind) {
    case FaultKind::kill:
      return kill(fault.node, fault.duration_s);
    case FaultKind::restart:
      return kill(fault.node, 0);
    case FaultKind::pause:
      controllers_[fault.node]->suspend();
      return run_after(fault.duration_s,
                       [this, node = fault.node] { controllers_[node]->resume(); });
    case FaultKind::leader_series:
      for (const double delay : {0.0, 2.0, 4.0})
        run_after(delay, [this] { kill(leader().value_or(0), 0.5); });
      return;
    case FaultKind::cut_peer:
    case FaultKind::cut_to_peer:
    case FaultKind::cut_state:
    case FaultKind::cut_from_state:
    case FaultKind::cut_workers:
    case FaultKind::cut_users:
    case FaultKind::delay:
      return begin_on_links(fault);
    case FaultKind::state_slow:
    case FaultKind::state_refuses:
    case FaultKind::state_out:
    case FaultKind::unanswered:
    case FaultKind::late:
    case FaultKind::watch_lag:
      return begin_on_state(fault);
    default:
      return begin_on_workers(fault);
  }
}

void Site::begin_on_links(const PlannedFault& fault) {
  auto& links = links_[fault.node];
  const auto hold = [&](TcpProxy& proxy, bool requests, bool responses) {
    proxy.faults().hold_requests |= requests;
    proxy.faults().hold_responses |= responses;
    run_after(fault.duration_s,
              [&proxy] { proxy.faults().hold_requests = proxy.faults().hold_responses = false; });
  };
  switch (fault.kind) {
    case FaultKind::cut_peer:
      hold(*links.to_peers[fault.peer], true, true);
      return hold(*links_[fault.peer].to_peers[fault.node], true, true);
    case FaultKind::cut_to_peer:
      return hold(*links.to_peers[fault.peer], true, true);
    case FaultKind::cut_state:
      return hold(*links.to_state, true, true);
    case FaultKind::cut_from_state:
      return hold(*links.to_state, false, true);
    case FaultKind::cut_workers:
      return hold(*links.from_workers, true, true);
    case FaultKind::cut_users:
      return hold(*links.from_users, true, true);
    default:
      links.to_state->faults().delay_s = 0.3;
      return run_after(fault.duration_s, [&links] { links.to_state->faults().delay_s = 0; });
  }
}

void Site::begin_on_state(const PlannedFault& fault) {
  auto& node = links_[fault.node].state->faults;
  const auto undo = [this, &fault](std::function<void()> fn) {
    run_after(fault.duration_s, std::move(fn));
  };
  switch (fault.kind) {
    case FaultKind::state_slow:
      for (auto& links : links_) links.state->faults.max_added_delay_s = 0.8;
      return undo([this] {
        for (auto& links : links_) links.state->faults.max_added_delay_s = 0;
      });
    case FaultKind::state_refuses:
      node.refused = true;
      return undo([&node] { node.refused = false; });
    case FaultKind::state_out:
      world_.stop_state_store();
      return undo([this] { world_.restore_state_store(); });
    case FaultKind::unanswered:
      node.unanswered_share = 0.7;
      return undo([&node] { node.unanswered_share = 0; });
    case FaultKind::late:
      node.late_share = 0.4;
      return undo([&node] { node.late_share = 0; });
    default:
      node.watch_lag_s = 1.5;
      return undo([&node] { node.watch_lag_s = 0; });
  }
}

void Site::for_some_workers(const std::function<void(test::FakeWorker&)>& fn) {
  for (auto& [id, worker] : world_.workers) {
    if (world_.random() < kAffectedWorkerShare) fn(*worker);
  }
}

void Site::begin_on_workers(const PlannedFault& fault) {
  const auto flag = [&](bool test::FakeWorker::*member) {
    for_some_workers([&](test::FakeWorker& worker) {
      worker.*member = true;
      run_after(fault.duration_s, [&worker, member] { worker.*member = false; });
    });
  };
  switch (fault.kind) {
    case FaultKind::heartbeats_lost:
      return flag(&test::FakeWorker::heartbeats_dropped);
    case FaultKind::responses_lost:
      return flag(&test::FakeWorker::responses_dropped);
    case FaultKind::heartbeats_copied:
      return for_some_workers([&](test::FakeWorker& worker) {
        worker.duplicate_share = 0.5;
        run_after(fault.duration_s, [&worker] { worker.duplicate_share = 0; });
      });
    case FaultKind::machines_hang:
      return for_some_workers([&](test::FakeWorker& worker) { worker.hang(fault.duration_s); });
    case FaultKind::commands_late:
      world_.network.command_delay_s = 3;
      return run_after(fault.duration_s, [this] { world_.network.command_delay_s = 0; });
    case FaultKind::commands_lost:
      world_.network.command_replies_lost = true;
      return run_after(fault.duration_s, [this] { world_.network.command_replies_lost = false; });
    case FaultKind::commands_copied:
      world_.command_copies.begin(kCopiedCommandShare);
      return run_after(fault.duration_s, [this] { world_.command_copies.end(); });
    default:
      return cancel_many();
  }
}

void Site::cancel_many() {
  auto jobs = world_.rules.accepted_jobs();
  std::erase_if(jobs,
                [this](const std::string& job) { return world_.rules.final_state_reported(job); });
  for (std::size_t i = 0; i < std::min(kCancelWaveSize, jobs.size()); ++i)
    world_.cancel(jobs[world_.pick(jobs.size())]);
}

void Site::end_all_faults() {
  for (auto& links : links_) {
    links.state->faults = {};
    for (auto* proxy : {links.to_state.get(), links.from_workers.get(), links.from_users.get()})
      proxy->faults() = {};
    for (auto& proxy : links.to_peers) {
      if (proxy) proxy->faults() = {};
    }
  }
  world_.restore_state_store();
  world_.network.command_delay_s = 0;
  world_.network.command_replies_lost = false;
  world_.command_copies.end();
  for (auto& [id, worker] : world_.workers) {
    worker->heartbeats_dropped = worker->responses_dropped = false;
    worker->duplicate_share = 0;
  }
  for (auto& controller : controllers_) controller->resume();
  start_controllers();
}

}  // namespace elmstall::soak
