// The cloud's interface: machine types, rentals and the machine list.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"

namespace elmstall::wire {

/// A kind of machine that the cloud rents out.
struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;
  double spot_price = 0;
  double ready_s = 0;
  std::vector<std::string> zones;
};
/// Throws DecodeError.
[[nodiscard]] std::vector<MachineType> decode_machine_types(const Object& object);
[[nodiscard]] std::string encode_machine_types(const std::vector<MachineType>& machine_types);

/// A machine as the cloud lists it.
struct CloudMachine {
  enum class State : std::uint8_t { booting, running, failed };
  std::string id;
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  State state = State::booting;
  double age_s = 0;
};
/// One page of the machine list.
struct CloudPage {
  std::vector<CloudMachine> machines;
  bool truncated = false;
};
/// Throws DecodeError.
[[nodiscard]] CloudPage decode_cloud_page(const Object& object);
/// A rental request under a name that is never used again.
[[nodiscard]] std::string encode_provision_request(std::string_view name, std::string_view type,
                                                   std::string_view zone, bool spot, int count);
/// Names of machines, to be deleted or just rented.
[[nodiscard]] std::string encode_machine_names(const std::vector<std::string>& machines);
[[nodiscard]] std::vector<std::string> decode_machine_names(const Object& object);

}  // namespace elmstall::wire
