/// \file
/// Simulated cloud: provisions and terminates the machines of the test world.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clients/cloud.hpp"

namespace elmstall::test {

class World;

/// Provisions machines with a limited capacity. Its list of machines lags behind the actual state,
/// and provisioning requests are idempotent by name, as in the protocol.
class FakeCloud : public clients::Cloud {
 public:
  explicit FakeCloud(World& world) : world_(world) {}
  void machine_types(
      std::function<void(std::optional<std::vector<wire::MachineType>>)> done) override;
  void list(const std::string& since,
            std::function<void(std::optional<wire::CloudPage>)> done) override;
  void provision(const std::string& name, const std::string& type, const std::string& zone,
                 bool spot, int count, std::function<void(clients::ProvisionResult)> done) override;
  void terminate(const std::vector<std::string>& machines, std::function<void(bool)> done) override;

  /// Every request fails.
  bool down = false;
  /// The list is answered with a page that announces more and has no entry.
  bool empty_pages = false;
  /// Machines that can still be rented.
  int capacity = 12;
  /// Number of coming provisioning requests that are executed without a response.
  int lost_responses = 0;

 private:
  /// All machines that are rented now.
  [[nodiscard]] wire::CloudPage current_page() const;
  /// The list as it was at this time.
  [[nodiscard]] wire::CloudPage page_at(double time) const;
  /// Rents one machine, which boots after a random time; returns its id.
  std::string rent_one(const std::string& type, const std::string& zone, bool spot);

  World& world_;
  /// Machines of the provisioning requests that were carried out, by name of the request.
  std::map<std::string, std::vector<std::string>> served_;
  std::map<double, wire::CloudPage> history_;
};

}  // namespace elmstall::test
