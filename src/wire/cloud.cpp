#include "wire/cloud.hpp"

#include <array>

#include "wire/names.hpp"

namespace elmstall::wire {
namespace {

constexpr EnumNames<CloudMachine::State, 3> kMachineStates{
    {{"booting", CloudMachine::State::booting},
     {"running", CloudMachine::State::running},
     {"failed", CloudMachine::State::failed}}};

/// The numbers of a machine type, in the order in which they are written.
constexpr std::array<AmountField<MachineType>, 8> kMachineTypeAmounts{{
    {"cores", &MachineType::cpus, Presence::required},
    {"cards", &MachineType::gpus, Presence::optional},
    {"ram_gb", &MachineType::memory_gb, Presence::required},
    {"local_gb", &MachineType::cache_gb, Presence::optional},
    {"fetch_gb_per_s", &MachineType::fetch_gb_per_s, Presence::optional},
    {"price", &MachineType::price, Presence::optional},
    {"low_price", &MachineType::spot_price, Presence::optional},
    {"ready_s", &MachineType::ready_s, Presence::optional},
}};

/// Reads a list of names. Throws DecodeError if one of them is empty or too long.
std::vector<std::string> decode_names(const Object& list, std::string_view field) {
  auto names = texts(&list, field);
  for (const auto& name : names) check_name(name, field);
  return names;
}

/// The zones in which a machine type is offered, as far as the cloud states them.
std::optional<std::vector<std::string>> decode_zones(const Fields& fields) {
  const auto* zones = fields.find("yards");
  if (zones == nullptr) return std::nullopt;
  return decode_names(*zones, "yards");
}

MachineType decode_machine_type(const Object& object) {
  const Fields fields(object);
  MachineType machine_type;
  machine_type.name = decode_name(fields, "name");
  decode_amounts(fields, kMachineTypeAmounts, machine_type);
  machine_type.zones = decode_zones(fields);
  return machine_type;
}

void pack_machine_type(Packer& packer, const MachineType& machine_type) {
  packer.map(kMachineTypeAmounts.size() + 2);
  packer.key("name").text(machine_type.name);
  pack_amounts(packer, kMachineTypeAmounts, machine_type);
  packer.key("yards");
  if (machine_type.zones) {
    packer.texts(*machine_type.zones);
  } else {
    packer.null();
  }
}

CloudMachine decode_cloud_machine(const Object& object) {
  const Fields fields(object);
  CloudMachine machine;
  machine.id = decode_name(fields, "uid");
  machine.addr = fields.maybe_text("addr").value_or("");
  machine.type = decode_name(fields, "build");
  machine.zone = decode_name(fields, "yard");
  machine.spot = fields.flag("loaners");
  machine.state = parse_enum(kMachineStates, fields.text("status"), "status");
  machine.age_s = fields.maybe_number("held_s").value_or(0);
  return machine;
}

}  // namespace

std::vector<MachineType> decode_machine_types(const Object& object) {
  const Fields fields(object);
  std::vector<MachineType> machine_types;
  for (const auto& item : elements(&fields.require("builds"), "builds"))
    machine_types.push_back(decode_machine_type(item));
  return machine_types;
}

void pack_machine_types(Packer& packer, const std::vector<MachineType>& machine_types) {
  packer.list(machine_types.size());
  for (const auto& machine_type : machine_types) pack_machine_type(packer, machine_type);
}

std::string encode_machine_types(const std::vector<MachineType>& machine_types) {
  Packer packer;
  pack_machine_types(packer.map(1).key("builds"), machine_types);
  return packer.take();
}

CloudPage decode_cloud_page(const Object& object) {
  const Fields fields(object);
  CloudPage page;
  page.truncated = fields.flag("truncated");
  for (const auto& item : elements(&fields.require("hosts"), "hosts"))
    page.machines.push_back(decode_cloud_machine(item));
  return page;
}

std::string encode_provision_request(std::string_view name, std::string_view type,
                                     std::string_view zone, bool spot, int count) {
  Packer packer;
  packer.map(5);
  packer.key("hire").text(name);
  packer.key("build").text(type);
  packer.key("yard").text(zone);
  packer.key("loaners").flag(spot);
  packer.key("count").integer(static_cast<std::uint64_t>(count));
  return packer.take();
}

std::string encode_machine_ids(const std::vector<std::string>& machines) {
  Packer packer;
  return packer.map(1).key("hosts").texts(machines).take();
}

std::vector<std::string> decode_machine_ids(const Object& object) {
  return decode_names(Fields(object).require("hosts"), "hosts");
}

}  // namespace elmstall::wire
