/// \file
/// Faults of the network between controllers, workers and users.
#pragma once

#include <cstddef>
#include <set>
#include <string>

namespace elmstall::test {

/// Which links are cut, and how messages on the others get lost. Tests change this while virtual
/// time runs; each simulated component checks it before it delivers a message.
class NetworkFaults {
 public:
  /// Loses all messages between the two zones.
  void partition_zones() { zones_partitioned_ = true; }
  void heal_partition() { zones_partitioned_ = false; }
  /// Cuts a zone off from the other zones. `World::cut_zone` also cuts it off from the state store.
  void cut_zone(const std::string& zone) { zones_cut_.insert(zone); }
  void restore_zone(const std::string& zone) { zones_cut_.erase(zone); }
  /// Cuts a node off from the other nodes.
  void cut_peer_links(std::size_t node) { peer_links_cut_.insert(node); }
  void restore_peer_links(std::size_t node) { peer_links_cut_.erase(node); }
  /// Cuts a node off from all workers, in both directions.
  void cut_workers(std::size_t node) { workers_cut_.insert(node); }
  void restore_workers(std::size_t node) { workers_cut_.erase(node); }

  [[nodiscard]] bool zone_cut(const std::string& zone) const { return zones_cut_.contains(zone); }
  [[nodiscard]] bool workers_cut(std::size_t node) const { return workers_cut_.contains(node); }
  [[nodiscard]] bool peers_connected(std::size_t one, std::size_t other) const {
    return !peer_links_cut_.contains(one) && !peer_links_cut_.contains(other);
  }
  [[nodiscard]] bool zones_connected(const std::string& one, const std::string& other) const {
    return one == other || (!zones_partitioned_ && !zone_cut(one) && !zone_cut(other));
  }

  /// Share of the messages of workers and users that is lost.
  double loss = 0;
  /// Command RPCs are executed so many seconds later, and their replies are lost. 0: at once.
  double command_delay_s = 0;
  /// Command RPCs are executed, but their replies are lost.
  bool command_replies_lost = false;
  /// No command RPC reaches a worker.
  bool command_rpcs_blocked = false;

 private:
  bool zones_partitioned_ = false;
  std::set<std::string> zones_cut_;
  std::set<std::size_t> peer_links_cut_;
  std::set<std::size_t> workers_cut_;
};

}  // namespace elmstall::test
