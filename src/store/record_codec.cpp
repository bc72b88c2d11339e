#include "store/records.hpp"

#include <algorithm>
#include <charconv>

#include "config/constants.hpp"

namespace elmstall::store {
namespace {

constexpr std::string_view kJobs = "elm/l/job/";
constexpr std::string_view kSlots = "elm/l/log/";
constexpr std::string_view kEarlierBlocks = "elm/l/block/";
constexpr std::string_view kEarlierMachines = "elm/l/host/";
constexpr std::string_view kDelegations = "elm/l/care/";
constexpr std::string_view kFinals = "elm/f/";

std::string joined(std::string_view prefix, std::string_view id) {
  return std::string(prefix).append(id);
}

// Binary data is not allowed in values: four tasks to a hexadecimal digit.
std::string to_hex(const std::vector<bool>& bits) {
  std::string text((bits.size() + 3) / 4, '0');
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned digit = 0;
    for (std::size_t j = 0; j < 4 && i * 4 + j < bits.size(); ++j)
      digit |= (bits[i * 4 + j] ? 1U : 0U) << j;
    text[i] = "0123456789abcdef"[digit];
  }
  return text;
}

std::vector<bool> from_hex(std::string_view text, std::size_t size) {
  std::vector<bool> bits(size);
  for (std::size_t i = 0; i < size; ++i) {
    const std::size_t at = i / 4;
    if (at >= text.size()) throw wire::DecodeError("done bits are too short");
    const char c = text[at];
    const unsigned digit =
        c >= 'a' ? static_cast<unsigned>(c - 'a') + 10 : static_cast<unsigned>(c - '0');
    bits[i] = ((digit >> (i % 4)) & 1U) != 0;
  }
  return bits;
}

}  // namespace

std::string job_key(std::string_view id) { return joined(kJobs, id); }
std::string slot_key(std::uint32_t number) { return joined(kSlots, std::to_string(number)); }
std::string delegation_key(std::string_view node) { return joined(kDelegations, node); }
std::string final_key(std::string_view id) { return joined(kFinals, id); }

Key parse_key(std::string_view key) {
  const auto rest = [&](std::string_view prefix) { return std::string(key.substr(prefix.size())); };
  if (key == kTermKey) return {Key::Kind::term, {}, 0};
  if (key == kLeadKey) return {Key::Kind::lead, {}, 0};
  if (key == kTypesKey) return {Key::Kind::types, {}, 0};
  if (key.starts_with(kJobs)) return {Key::Kind::job, rest(kJobs), 0};
  if (key.starts_with(kDelegations)) return {Key::Kind::delegation, rest(kDelegations), 0};
  if (key.starts_with(kFinals)) return {Key::Kind::final, rest(kFinals), 0};
  if (key.starts_with(kSlots)) {
    Key parsed{Key::Kind::slot, {}, 0};
    const char* end = key.data() + key.size();
    const auto [stop, error] = std::from_chars(key.data() + kSlots.size(), end, parsed.number);
    return error == std::errc() && stop == end ? parsed : Key{};
  }
  if (key.starts_with(kEarlierBlocks) || key.starts_with(kEarlierMachines))
    return {Key::Kind::earlier, {}, 0};
  return {};
}

std::size_t BlockRecord::done_count() const {
  return static_cast<std::size_t>(std::count(done.begin(), done.end(), true));
}
std::size_t BlockRecord::assigned_count() const {
  return static_cast<std::size_t>(std::count_if(
      tasks.begin(), tasks.end(), [](const auto& task) { return !task.machine.empty(); }));
}

std::string encode(const TermRecord& record) {
  wire::Packer packer;
  return packer.map(1).key("n").integer(record.term).take();
}

std::string encode(const LeadRecord& record) {
  wire::Packer packer;
  packer.map(3)
      .key("node")
      .text(record.node)
      .key("inc")
      .text(record.incarnation)
      .key("term")
      .integer(record.term);
  return packer.take();
}

std::string encode(const JobRecord& record) {
  wire::Packer packer;
  packer.map(3).key("spec");
  wire::pack_job(packer, record.spec);
  packer.key("cancelled").flag(record.cancelled).key("at").number(record.submitted);
  return packer.take();
}

// Upper bounds of what a value takes as JSON, with its comma.
namespace {
constexpr std::size_t kJsonCount = 11;
constexpr std::size_t kJsonList = 3;
std::size_t json_text(const std::string& text) { return text.size() + 3; }
}  // namespace

Packed pack(const BlockEntry& entry) {
  wire::Packer packer;
  const auto bits = to_hex(entry.record.done);
  packer.list(5).text(entry.job).integer(entry.number).integer(entry.record.done.size()).text(bits);
  packer.list(entry.record.tasks.size());
  std::size_t json = 2 * kJsonList + json_text(entry.job) + 2 * kJsonCount + json_text(bits);
  for (const auto& task : entry.record.tasks) {
    packer.list(3).integer(task.index).integer(task.attempt).text(task.machine);
    json += kJsonList + 2 * kJsonCount + json_text(task.machine);
  }
  return {packer.take(), json};
}

Packed pack(const MachineEntry& entry) {
  wire::Packer packer;
  if (entry.removed) return {packer.list(1).text(entry.id).take(), kJsonList + json_text(entry.id)};
  const auto& machine = entry.record;
  packer.list(5).text(entry.id).text(machine.addr).text(machine.type).text(machine.zone);
  packer.integer((machine.spot ? 1U : 0U) | (machine.retired ? 2U : 0U));
  return {packer.take(), kJsonList + json_text(entry.id) + json_text(machine.addr) +
                             json_text(machine.type) + json_text(machine.zone) + kJsonCount};
}

std::string encode_slot(std::uint64_t number, const std::vector<std::string>& blocks,
                        const std::vector<std::string>& machines) {
  wire::Packer packer;
  packer.map(3).key("n").integer(number).key("b").list(blocks.size());
  for (const auto& block : blocks) packer.raw(block);
  packer.key("h").list(machines.size());
  for (const auto& machine : machines) packer.raw(machine);
  return packer.take();
}

std::string encode(const DelegationRecord& record) {
  wire::Packer packer;
  return packer.map(1).key("zone").text(record.zone).take();
}

std::string encode(const FinalRecord& record) {
  wire::Packer packer;
  packer.map(2).key("state").text(wire::to_text(record.state)).key("tasks").integer(record.tasks);
  return packer.take();
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
  return {wire::decode_job(fields.require("spec")), fields.flag_or("cancelled", false),
          fields.number("at")};
}

namespace {

BlockEntry decode_block(const wire::Object& object) {
  const auto [part, end] = wire::elements(&object, "block");
  if (end - part != 5) throw wire::DecodeError("a block has five parts");
  BlockEntry entry;
  entry.job = wire::as_text(part[0], "job");
  entry.number = static_cast<std::uint32_t>(wire::as_integer(part[1], "number"));
  const auto size = wire::as_integer(part[2], "size");
  if (size > constants::kMaxTasks) throw wire::DecodeError("a block is too large");
  entry.record.done = from_hex(wire::as_text(part[3], "done"), size);
  const auto [first, last] = wire::elements(&part[4], "tasks");
  for (const auto* item = first; item != last; ++item) {
    const auto [field, stop] = wire::elements(item, "task");
    if (stop - field != 3) throw wire::DecodeError("a task record has three parts");
    entry.record.tasks.push_back({static_cast<std::uint32_t>(wire::as_integer(field[0], "index")),
                                  wire::as_integer(field[1], "attempt"),
                                  wire::as_text(field[2], "host")});
  }
  return entry;
}

MachineEntry decode_machine(const wire::Object& object) {
  const auto [part, end] = wire::elements(&object, "host");
  if (end - part == 1) return {wire::as_text(part[0], "host"), true, {}};
  if (end - part != 5) throw wire::DecodeError("a host has five parts");
  const auto flags = wire::as_integer(part[4], "flags");
  return {wire::as_text(part[0], "host"),
          false,
          {wire::as_text(part[1], "addr"), wire::as_text(part[2], "type"),
           wire::as_text(part[3], "zone"), (flags & 1U) != 0, (flags & 2U) != 0}};
}

}  // namespace

SlotRecord decode_slot(std::string_view packed) {
  const auto document = wire::Document::parse(packed);
  const auto fields = document.fields();
  SlotRecord slot;
  slot.number = fields.integer("n");
  const auto [first_block, blocks_end] = wire::elements(fields.find("b"), "b");
  for (const auto* item = first_block; item != blocks_end; ++item)
    slot.blocks.push_back(decode_block(*item));
  const auto [first_machine, machines_end] = wire::elements(fields.find("h"), "h");
  for (const auto* item = first_machine; item != machines_end; ++item)
    slot.machines.push_back(decode_machine(*item));
  return slot;
}

DelegationRecord decode_delegation(std::string_view packed) {
  return {wire::Document::parse(packed).fields().text("zone")};
}

FinalRecord decode_final(std::string_view packed) {
  const auto document = wire::Document::parse(packed);
  const auto fields = document.fields();
  FinalRecord record;
  record.state = fields.text("state") == wire::to_text(wire::JobState::done)
                     ? wire::JobState::done
                     : wire::JobState::cancelled;
  record.tasks = fields.integer_or("tasks", 0);
  return record;
}

std::size_t value_bytes(double value_kb) {
  return static_cast<std::size_t>(value_kb * 1024 * constants::kSlotFill);
}

std::size_t json_size(const JobRecord& record) {
  const auto document = wire::Document::parse(encode(record));
  return wire::json_size(document.root()) + constants::kJsonNumberSlack;
}

JobRecord cancelled_record(JobRecord record, std::size_t most) {
  record.cancelled = true;
  if (json_size(record) <= most) return record;
  record.spec.types.clear();
  record.spec.zone.reset();
  record.spec.image.clear();
  return record;
}

std::uint32_t max_started_tasks(double value_kb) {
  const auto room = value_bytes(value_kb) - constants::kBlockFrameBytes;
  return std::max(1U, static_cast<std::uint32_t>(room / constants::kTaskRecordBytes));
}

bool startable_at_once(std::uint32_t tasks, double value_kb, double partition_kb) {
  return std::min(tasks, block_size(partition_kb)) <= max_started_tasks(value_kb);
}

std::uint32_t block_size(double value_kb) {
  // Powers of two. Small ones keep what a change of one task costs small.
  const auto room = static_cast<std::size_t>(value_kb * 1024 / 2.5) / constants::kTaskRecordBytes;
  std::uint32_t size = 1;
  while (std::size_t{size} * 2 <= room && size < constants::kMaxBlockTasks) size *= 2;
  return size;
}

}  // namespace elmstall::store
