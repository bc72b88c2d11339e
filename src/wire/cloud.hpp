/// @file
/// The cloud's interface: machine types, provision and termination of machines, the machine list.
/// All decode functions throw DecodeError.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"

namespace elmstall::wire {

/// A machine type that the cloud offers. Prices are in a unit that the cloud chooses; the program
/// only compares them with each other.
struct MachineType {
  std::string name;           ///< name used in provision requests
  double cpus = 0;            ///< processor cores
  double gpus = 0;            ///< graphics processors
  double memory_gb = 0;       ///< main memory, GB
  double cache_gb = 0;        ///< local storage for images, GB
  double fetch_gb_per_s = 0;  ///< rate of fetching an image, GB per second; 0: not stated
  double price = 0;           ///< price of an ordinary machine
  double spot_price = 0;      ///< price of a spot machine
  double ready_s = 0;         ///< typical provisioning time, seconds; 0: not stated
  /// Zones in which it is offered: none if the list is empty. Nothing: not stated.
  std::optional<std::vector<std::string>> zones;

  /// The zones in which it is offered: those of the deployment if the cloud does not state them.
  [[nodiscard]] const std::vector<std::string>& zones_or(
      const std::vector<std::string>& deployment_zones) const {
    return zones ? *zones : deployment_zones;
  }
};
/// Reads the cloud's response.
[[nodiscard]] std::vector<MachineType> decode_machine_types(const Object& object);
/// Adds a list of machine types, in the form of the cloud's response.
void pack_machine_types(Packer& packer, const std::vector<MachineType>& machine_types);
/// Writes the machine types in the form of the cloud's response.
[[nodiscard]] std::string encode_machine_types(const std::vector<MachineType>& machine_types);

/// A machine as the cloud lists it.
struct CloudMachine {
  /// Lifecycle state of a machine.
  enum class State : std::uint8_t {
    booting,  ///< provisioned, but not started yet
    running,  ///< started
    failed    ///< defective; this state is final (docs/design.md, rule 6)
  };
  std::string id;                ///< identifier that the cloud assigned
  std::string addr;              ///< empty while no address is known
  std::string type;              ///< machine type
  std::string zone;              ///< zone in which it runs
  bool spot = false;             ///< whether it is a spot machine
  State state = State::booting;  ///< state of the machine, not of its worker
  double age_s = 0;              ///< seconds since it was provisioned; 0 if that is not stated
};
/// One page of the machine list.
struct CloudPage {
  std::vector<CloudMachine> machines;  ///< in the order of the cloud's list
  bool truncated = false;              ///< more pages follow
};
/// Reads one page of the machine list.
[[nodiscard]] CloudPage decode_cloud_page(const Object& object);

/// A request to provision `count` machines. The cloud executes requests with the same name only
/// once, so a request without a response can be retried (docs/design.md, rule 9).
[[nodiscard]] std::string encode_provision_request(std::string_view name, std::string_view type,
                                                   std::string_view zone, bool spot, int count);

/// A list of machine ids: those to terminate, or those that were just provisioned.
[[nodiscard]] std::string encode_machine_ids(const std::vector<std::string>& machines);
/// Reads such a list.
[[nodiscard]] std::vector<std::string> decode_machine_ids(const Object& object);

}  // namespace elmstall::wire
