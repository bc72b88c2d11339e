#include "store/record_codec.hpp"

namespace elmstall::store {
namespace {

/// Value of the field `form` of recorded machine types whose lists of zones may be empty. Versions
/// without the field wrote an empty list where the cloud had stated no zones.
constexpr std::uint64_t kFormWithEmptyZones = 2;

}  // namespace

std::string encode(const TermRecord& record) {
  wire::Packer packer;
  return packer.map(1).key("n").integer(record.term).take();
}

std::string encode(const LeadRecord& record) {
  wire::Packer packer;
  packer.map(3);
  packer.key("node").text(record.node);
  packer.key("inc").text(record.incarnation);
  packer.key("term").integer(record.term);
  return packer.take();
}

std::string encode(const JobRecord& record) {
  wire::Packer packer;
  packer.map(3).key("spec");
  wire::pack_job(packer, record.spec);
  packer.key("cancelled").flag(record.cancelled);
  packer.key("at").number(record.submitted);
  return packer.take();
}

std::string encode(const DelegationRecord& record) {
  wire::Packer packer;
  return packer.map(1).key("zone").text(record.zone).take();
}

std::string encode(const FinalRecord& record) {
  wire::Packer packer;
  packer.map(2);
  packer.key("state").text(wire::to_text(record.state));
  packer.key("tasks").integer(record.tasks);
  return packer.take();
}

std::string encode(const MachineTypesRecord& record) {
  wire::Packer packer;
  wire::pack_machine_types(packer.map(2).key("builds"), record.types);
  return packer.key("form").integer(kFormWithEmptyZones).take();
}

TermRecord decode_term(std::string_view packed) {
  return {wire::Document::parse(packed).fields().integer("n")};
}

LeadRecord decode_lead(std::string_view packed) {
  const auto document = wire::Document::parse(packed);
  const auto fields = document.fields();
  return {fields.text("node"), fields.text("inc"), fields.integer("term")};
}

JobRecord decode_job(std::string_view packed) {
  const auto document = wire::Document::parse(packed);
  const auto fields = document.fields();
  return {wire::decode_job(fields.require("spec")), fields.flag("cancelled"), fields.number("at")};
}

DelegationRecord decode_delegation(std::string_view packed) {
  return {wire::Document::parse(packed).fields().text("zone")};
}

FinalRecord decode_final(std::string_view packed) {
  const auto document = wire::Document::parse(packed);
  const auto fields = document.fields();
  FinalRecord record;
  record.state = wire::decode_job_state(fields, "state");
  if (record.state != wire::JobState::done && record.state != wire::JobState::cancelled)
    throw wire::DecodeError("a final record has a state that is not final");
  record.tasks = fields.integer_or("tasks", 0);
  return record;
}

MachineTypesRecord decode_machine_types(std::string_view packed) {
  const auto document = wire::Document::parse(packed);
  MachineTypesRecord record{wire::decode_machine_types(document.root())};
  if (document.fields().integer_or("form", 0) >= kFormWithEmptyZones) return record;
  for (auto& machine_type : record.types) {
    if (machine_type.zones && machine_type.zones->empty()) machine_type.zones.reset();
  }
  return record;
}

}  // namespace elmstall::store
