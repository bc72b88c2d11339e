#include "wire/cloud.hpp"

#include <array>

#include "wire/names.hpp"

namespace elmstall::wire {
namespace {

constexpr Names<CloudMachine::State, 3> kMachineStates{{{"booting", CloudMachine::State::booting},
                                                        {"running", CloudMachine::State::running},
                                                        {"failed", CloudMachine::State::failed}}};

CloudMachine decode_cloud_machine(const Object& object) {
  const Fields fields(object);
  CloudMachine machine;
  machine.id = fields.text("uid");
  machine.addr = fields.maybe_text("addr").value_or("");
  machine.type = fields.text("build");
  machine.zone = fields.text("yard");
  machine.spot = fields.flag_or("loaners", false);
  machine.state = pick(kMachineStates, fields.text("status"), "status");
  machine.age_s = fields.maybe_number("held_s").value_or(0);
  return machine;
}

}  // namespace

std::vector<MachineType> decode_machine_types(const Object& object) {
  const Fields fields(object);
  std::vector<MachineType> machine_types;
  const auto [first, last] = elements(&fields.require("builds"), "builds");
  for (const auto* item = first; item != last; ++item) {
    const Fields one(*item);
    MachineType machine_type;
    machine_type.name = one.text("name");
    machine_type.cpus = amount(one, "cores");
    machine_type.gpus = amount_or_zero(one, "cards");
    machine_type.memory_gb = amount(one, "ram_gb");
    machine_type.cache_gb = amount_or_zero(one, "local_gb");
    machine_type.fetch_gb_per_s = amount_or_zero(one, "fetch_gb_per_s");
    machine_type.price = amount_or_zero(one, "price");
    machine_type.spot_price = amount_or_zero(one, "low_price");
    machine_type.ready_s = amount_or_zero(one, "ready_s");
    const auto [zone, zones_end] = elements(one.find("yards"), "yards");
    for (const auto* name = zone; name != zones_end; ++name)
      machine_type.zones.push_back(as_text(*name, "yards"));
    machine_types.push_back(std::move(machine_type));
  }
  return machine_types;
}

std::string encode_machine_types(const std::vector<MachineType>& machine_types) {
  Packer packer;
  packer.map(1).key("builds").list(machine_types.size());
  for (const auto& machine_type : machine_types) {
    packer.map(10);
    packer.key("name").text(machine_type.name);
    packer.key("cores").number(machine_type.cpus);
    packer.key("cards").number(machine_type.gpus);
    packer.key("ram_gb").number(machine_type.memory_gb);
    packer.key("local_gb").number(machine_type.cache_gb);
    packer.key("fetch_gb_per_s").number(machine_type.fetch_gb_per_s);
    packer.key("price").number(machine_type.price);
    packer.key("low_price").number(machine_type.spot_price);
    packer.key("ready_s").number(machine_type.ready_s);
    packer.key("yards").list(machine_type.zones.size());
    for (const auto& zone : machine_type.zones) packer.text(zone);
  }
  return packer.take();
}

CloudPage decode_cloud_page(const Object& object) {
  const Fields fields(object);
  CloudPage page;
  page.truncated = fields.flag_or("truncated", false);
  const auto [first, last] = elements(&fields.require("hosts"), "hosts");
  for (const auto* item = first; item != last; ++item)
    page.machines.push_back(decode_cloud_machine(*item));
  return page;
}

std::string encode_provision_request(std::string_view name, std::string_view type,
                                     std::string_view zone, bool spot, int count) {
  Packer packer;
  packer.map(5).key("hire").text(name).key("build").text(type).key("yard").text(zone);
  packer.key("loaners").flag(spot).key("count").integer(static_cast<std::uint64_t>(count));
  return packer.take();
}

std::string encode_machine_names(const std::vector<std::string>& machines) {
  Packer packer;
  packer.map(1).key("hosts").list(machines.size());
  for (const auto& machine : machines) packer.text(machine);
  return packer.take();
}

std::vector<std::string> decode_machine_names(const Object& object) {
  std::vector<std::string> names;
  const Fields fields(object);
  const auto [first, last] = elements(&fields.require("hosts"), "hosts");
  for (const auto* item = first; item != last; ++item) names.push_back(as_text(*item, "hosts"));
  return names;
}

}  // namespace elmstall::wire
