#include "support/processes.hpp"

#include <algorithm>

#include "support/world.hpp"

namespace elmstall::test {

void Process::request(net::Request request, net::Responder respond) {
  if (other) return other->on_request(std::move(request), std::move(respond));
  node->on_request(std::move(request), std::move(respond));
}

void Process::receive(const std::string& bytes) {
  if (other) return other->on_message(bytes);
  node->on_message(peer::decode(bytes));
}

Processes::~Processes() {
  for (auto& process : nodes_) {
    process.node.reset();
    process.other.reset();
  }
}

config::Settings Processes::settings_of(std::size_t index, std::size_t count) const {
  auto settings = world_.settings;
  const auto& zones = world_.settings.zones;
  settings.node = node_name(index);
  settings.zone = zones[index % 2];
  for (std::size_t peer = 0; peer < count; ++peer) {
    if (peer != index) settings.peers.push_back({node_name(peer), zones[peer % 2], ""});
  }
  return settings;
}

void Processes::start(std::size_t count) {
  nodes_.resize(count);
  for (std::size_t i = 0; i < count; ++i) {
    nodes_[i].upgraded = !other_factory_;
    nodes_[i].settings = settings_of(i, count);
    start_process(i);
  }
}

double Processes::clock_rate(std::size_t index) const {
  const auto found = clock_rates_.find(index);
  return found == clock_rates_.end() ? 1 : found->second;
}

void Processes::connect(std::size_t index) {
  auto& process = nodes_[index];
  const auto seed = static_cast<unsigned>(world_.generator());
  process.event_loop = std::make_unique<VirtualEventLoop>(world_.loop, seed, clock_rate(index));
  const auto faults = process.store ? process.store->faults : FakeStore::Faults{};
  if (process.store) retired_stores_.push_back(std::move(process.store));
  process.store = std::make_unique<FakeStore>(world_.loop, world_.state, seed + 1);
  process.store->copies = &world_.message_copies;
  process.store->faults = faults;
  if (!process.worker_rpc) process.worker_rpc = std::make_unique<FakeWorkerRpc>(world_, index);
  process.transport = std::make_unique<FakeTransport>(world_, *this, index);
}

void Processes::start_process(std::size_t index) {
  connect(index);
  auto& process = nodes_[index];
  auto incarnation = process.settings.node + "." + std::to_string(++process.incarnation);
  if (!process.upgraded) {
    process.other =
        other_factory_({process.settings, *process.event_loop, *process.store, world_.cloud,
                        *process.worker_rpc, *process.transport, std::move(incarnation)});
    return;
  }
  process.node = std::make_unique<controller::Node>(
      process.settings,
      controller::Node::Ports{*process.event_loop, *process.store, world_.cloud,
                              *process.worker_rpc},
      std::move(incarnation));
  process.node->start(*process.transport);
}

void Processes::crash(std::size_t index, double restart_after_s) {
  auto& process = nodes_[index];
  if (!process.alive()) return;
  process.store->disconnect();
  process.node.reset();
  process.other.reset();
  // The store and the transport stay until the restart: requests in flight may still be executed by
  // the receiver.
  process.event_loop = std::make_unique<VirtualEventLoop>(world_.loop, 1);
  world_.loop.after(restart_after_s, [this, index] { start_process(index); });
}

controller::Node* Processes::leader() {
  for (auto& process : nodes_) {
    if (process.node && process.node->leader() != nullptr &&
        process.node->leader()->leader_lease_valid())
      return process.node.get();
  }
  return nullptr;
}

bool Processes::other_version_leads() const {
  return std::any_of(nodes_.begin(), nodes_.end(), [](const Process& process) {
    return process.other && process.other->leads();
  });
}

}  // namespace elmstall::test
