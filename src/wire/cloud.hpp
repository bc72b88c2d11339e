/// @file
/// The cloud's interface: machine types, provision and termination of machines, the machine list.
/// All decode functions throw DecodeError.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"

namespace elmstall::wire {

/// A type of machine that the cloud rents out. Prices are in the cloud's own unit; the program only
/// compares them with each other.
struct MachineType {
  std::string name;                ///< by which it is requested
  double cpus = 0;                 ///< processor cores
  double gpus = 0;                 ///< graphics processors
  double memory_gb = 0;            ///< main memory, GB
  double cache_gb = 0;             ///< local storage for images, GB
  double fetch_gb_per_s = 0;       ///< rate of fetching an image, GB per second; 0: not stated
  double price = 0;                ///< price of an ordinary machine
  double spot_price = 0;           ///< price of a spot machine
  double ready_s = 0;              ///< usual time from the request until the machine is up, seconds
  std::vector<std::string> zones;  ///< zones in which it is offered
};
/// Reads the cloud's answer, or the machine types as they are stored.
[[nodiscard]] std::vector<MachineType> decode_machine_types(const Object& object);
/// Writes the machine types in the form of the cloud's answer.
[[nodiscard]] std::string encode_machine_types(const std::vector<MachineType>& machine_types);

/// A machine as the cloud lists it.
struct CloudMachine {
  /// Where the machine is in its life.
  enum class State : std::uint8_t {
    booting,  ///< rented, and not up yet
    running,  ///< up
    failed    ///< defective; it never comes back (rule 6)
  };
  std::string id;                ///< name that the cloud gave the machine
  std::string addr;              ///< empty while it has none
  std::string type;              ///< machine type
  std::string zone;              ///< zone in which it is
  bool spot = false;             ///< whether it is a spot machine
  State state = State::booting;  ///< state of the machine, not of its worker
  double age_s = 0;              ///< seconds since it was rented
};
/// One page of the machine list.
struct CloudPage {
  std::vector<CloudMachine> machines;  ///< in the order of the cloud's list
  bool truncated = false;              ///< more pages follow
};
/// Reads one page of the machine list.
[[nodiscard]] CloudPage decode_cloud_page(const Object& object);

/// A request to provision `count` machines. The cloud executes requests with the same name only
/// once, so a request that got no answer can be repeated (rule 9).
[[nodiscard]] std::string encode_provision_request(std::string_view name, std::string_view type,
                                                   std::string_view zone, bool spot, int count);

/// A list of machine ids: those to terminate, or those that were just provisioned.
[[nodiscard]] std::string encode_machine_ids(const std::vector<std::string>& machines);
/// Reads such a list.
[[nodiscard]] std::vector<std::string> decode_machine_ids(const Object& object);

}  // namespace elmstall::wire
