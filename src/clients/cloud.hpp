// What the rest of the program needs of the cloud.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "wire/types.hpp"

namespace elmstall::clients {

struct ProvisionResult {
  enum class Outcome : std::uint8_t { ok, no_capacity, unavailable, unknown, rejected };
  Outcome outcome = Outcome::unknown;
  std::vector<std::string> machines;
};

class Cloud {
 public:
  virtual ~Cloud() = default;
  virtual void machine_types(
      std::function<void(std::optional<std::vector<wire::MachineType>>)> done) = 0;
  virtual void list(const std::string& since,
                    std::function<void(std::optional<wire::CloudPage>)> done) = 0;
  virtual void provision(const std::string& name, const std::string& type, const std::string& zone,
                         bool spot, int count, std::function<void(ProvisionResult)> done) = 0;
  /// True: the machines and everything on them are gone.
  virtual void terminate(const std::vector<std::string>& machines,
                         std::function<void(bool)> done) = 0;
};

}  // namespace elmstall::clients
