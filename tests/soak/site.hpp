/// \file
/// A deployment of real controllers on loopback addresses, with proxies on all connections.
#pragma once

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "soak/controller_child.hpp"
#include "soak/options.hpp"
#include "soak/tcp_proxy.hpp"
#include "support/fake_http_servers.hpp"
#include "support/real_time.hpp"
#include "support/world.hpp"

namespace elmstall::soak {

/// The controllers, and the simulated world around them: state store, cloud, workers and users.
/// Runs on the loop of `io`.
class Site {
 public:
  /// Writes the settings files and the logs to `folder`.
  Site(asio::io_context& io, const Options& options, unsigned seed,
       const std::filesystem::path& folder);
  /// Kills the controllers.
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  /// Starts the controllers that do not run.
  void start_controllers();
  /// Begins the fault and schedules its end.
  void begin_fault(const PlannedFault& fault);
  /// Ends all faults, and starts controllers that are down.
  void end_all_faults();
  /// The controller that the state store shows as the leader, if there is one.
  [[nodiscard]] std::optional<std::size_t> leader() const;
  [[nodiscard]] test::World& world() { return world_; }
  [[nodiscard]] std::vector<std::unique_ptr<ControllerChild>>& controllers() {
    return controllers_;
  }

 private:
  /// The proxies of one controller. Peers connect to it by proxies of their own.
  struct Links {
    std::unique_ptr<TcpProxy> to_state;
    std::unique_ptr<TcpProxy> to_cloud;
    std::unique_ptr<TcpProxy> from_workers;
    std::unique_ptr<TcpProxy> from_users;
    std::vector<std::unique_ptr<TcpProxy>> to_peers;  ///< by peer; null for itself
    std::unique_ptr<test::StateStoreServer> state;
    std::unique_ptr<net::HttpClient> workers;
    std::unique_ptr<net::HttpClient> users;
  };

  void choose_addresses(int port_base);
  void connect(std::size_t node, std::size_t state_page);
  [[nodiscard]] std::filesystem::path write_settings(std::size_t node,
                                                     const std::filesystem::path& folder) const;
  void deliver(std::size_t node, const net::Request& request, const net::Responder& respond);
  void kill(std::size_t node, double back_after_s);
  void begin_on_links(const PlannedFault& fault);
  void begin_on_state(const PlannedFault& fault);
  void begin_on_workers(const PlannedFault& fault);
  void cancel_many();
  /// Calls `fn` for a third of the machines.
  void for_some_workers(const std::function<void(test::FakeWorker&)>& fn);
  /// Calls `undo` after so many seconds, to end a fault. Ending one twice does no harm.
  void run_after(double seconds, std::function<void()> undo);

  asio::io_context& io_;
  test::World world_;
  test::RealTime real_time_;
  test::WorkerServers worker_servers_;
  test::CloudServer cloud_;
  std::vector<std::string> api_addresses_;
  std::vector<std::string> peer_addresses_;
  std::vector<Links> links_;
  std::vector<std::unique_ptr<ControllerChild>> controllers_;
};

}  // namespace elmstall::soak
